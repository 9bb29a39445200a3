package fawnlb.lab.shim;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Lets system calls of one node fail and its wall clock step while it runs, by a library that is preloaded into its
 * process ({@code faults.c}, compiled by the machine's C compiler). What fails stands in a file that both processes
 * map.
 */
public final class FaultShim {
    private static final int CONTROL_WORDS = 64;
    /** Places of words, as {@code faults.c} has them. */
    private static final int WALL_CLOCK_OFFSET_WORD = 0;

    private static final int MAX_READ_WORD = 1;
    private static final int MAX_WRITE_WORD = 2;
    private static final int FIRST_CALL_WORD = 8;
    private static final int WORDS_PER_CALL = 4;
    private static final long COMPILE_TIMEOUT_SECONDS = 60;

    /** System calls that can fail. */
    public enum SystemCall {
        ACCEPT,
        CONNECT,
        SOCKET,
        READ,
        WRITE,
        FSYNC,
        FILE_WRITE
    }

    /** Errors by their numbers on Linux. */
    public enum Errno {
        EINTR(4),
        EIO(5),
        ENOMEM(12),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private final Path library;
    private final Path control;
    private final LongBuffer words;

    private FaultShim(Path library, Path control, LongBuffer words) {
        this.library = library;
        this.control = control;
        this.words = words;
    }

    /** Whether this machine has a C compiler to make the library with. */
    public static boolean isAvailable() {
        for (String directory : System.getenv().getOrDefault("PATH", "").split(":")) {
            if (Files.isExecutable(Path.of(directory, "cc"))) {
                return true;
            }
        }
        return false;
    }

    /** Compiles the library into this folder; nodes share it. */
    public static Path compile(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve("faults.c");
        try (InputStream in = FaultShim.class.getResourceAsStream("faults.c")) {
            Files.copy(in, source);
        }
        Path library = directory.resolve("faults.so");
        Process compiler = new ProcessBuilder(
                        "cc",
                        "-shared",
                        "-fPIC",
                        "-O1",
                        "-Wall",
                        "-Werror",
                        "-o",
                        library.toString(),
                        source.toString(),
                        "-ldl")
                .inheritIO()
                .start();
        if (!compiler.waitFor(COMPILE_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("the library of faults can't be compiled");
        }
        return library;
    }

    /** Faults of one node, none so far. */
    public static FaultShim create(Path library, Path control) throws IOException {
        try (FileChannel file = FileChannel.open(
                control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            LongBuffer words = file.map(FileChannel.MapMode.READ_WRITE, 0, (long) CONTROL_WORDS * Long.BYTES)
                    .order(ByteOrder.nativeOrder())
                    .asLongBuffer();
            return new FaultShim(library, control, words);
        }
    }

    /** Faults of nobody: for a machine without a compiler. */
    public static FaultShim none() {
        return new FaultShim(null, null, LongBuffer.allocate(CONTROL_WORDS));
    }

    /** What the node's process has to be started with. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", control.toString());
    }

    /** Steps the wall clock to so many nanoseconds from the machine's; the monotonic clock runs on. */
    public void stepWallClock(long offsetNanos) {
        words.put(WALL_CLOCK_OFFSET_WORD, offsetNanos);
    }

    /** From here on every so many-th of these calls fails. */
    public void fail(SystemCall call, Errno error, int oneIn) {
        words.put(firstWordOf(call) + 1, oneIn);
        words.put(firstWordOf(call), error.number);
    }

    /** The next so many of these calls fail. */
    public void failNext(SystemCall call, Errno error, int count) {
        fail(call, error, -count);
    }

    /** These calls work again. */
    public void heal(SystemCall call) {
        words.put(firstWordOf(call), 0);
    }

    /** Sockets read and write so many bytes at a time at most; 0 for as many as there are. */
    public void limitTransfers(int maxRead, int maxWrite) {
        words.put(MAX_READ_WORD, maxRead);
        words.put(MAX_WRITE_WORD, maxWrite);
    }

    /** How many of these calls have failed so far. */
    public long failureCount(SystemCall call) {
        return words.get(firstWordOf(call) + 2);
    }

    /** How many calls of all kinds have failed so far. */
    public long failureCount() {
        long sum = 0;
        for (SystemCall call : SystemCall.values()) {
            sum += failureCount(call);
        }
        return sum;
    }

    private static int firstWordOf(SystemCall call) {
        return FIRST_CALL_WORD + WORDS_PER_CALL * call.ordinal();
    }
}
