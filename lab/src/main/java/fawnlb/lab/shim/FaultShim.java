package fawnlb.lab.shim;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of one node fail and its wall clock step while it runs. The machine's C compiler builds a library
 * from {@code faults.c}, which is preloaded into the node's process. A control file, which both processes map, tells it
 * what is to fail. Changes take effect at the next call; instances may be used on any thread.
 */
public final class FaultShim {
    private static final int CONTROL_WORDS = 64;
    /** Positions of 64-bit words in the control file; {@code faults.c} has the same. */
    private static final int WALL_CLOCK_OFFSET_WORD = 0;

    private static final int MAX_READ_WORD = 1;
    private static final int MAX_WRITE_WORD = 2;
    private static final int FIRST_CALL_WORD = 8;
    /** Each system call has four words: its errno, one call in how many fails, failures so far, and all calls. */
    private static final int WORDS_PER_CALL = 4;

    private static final int ERRNO_WORD = 0;
    private static final int INTERVAL_WORD = 1;
    private static final int FAILURES_WORD = 2;
    private static final long COMPILE_TIMEOUT_SECONDS = 60;

    /** System calls that can fail, in the order of {@code faults.c}. */
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

    /** Returns whether this machine has a C compiler, without which the library can't be built. */
    public static boolean isAvailable() {
        for (String directory : System.getenv().getOrDefault("PATH", "").split(":")) {
            if (Files.isExecutable(Path.of(directory, "cc"))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Compiles the library into this directory; nodes can share it.
     *
     * @throws IOException if the compiler fails or does not end in time
     */
    public static Path compile(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve("faults.c");
        try (InputStream in = FaultShim.class.getResourceAsStream("faults.c")) {
            Files.copy(in, source);
        }
        Path library = directory.resolve("faults.so");
        List<String> command = new ArrayList<>(List.of("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror"));
        command.addAll(List.of("-o", library.toString(), source.toString(), "-ldl"));
        Process compiler = new ProcessBuilder(command).inheritIO().start();
        if (!compiler.waitFor(COMPILE_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("the library of faults can't be compiled");
        }
        return library;
    }

    /** Returns the faults of one node, none so far, with the control file at this path. */
    public static FaultShim create(Path library, Path control) throws IOException {
        try (FileChannel file = FileChannel.open(
                control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            LongBuffer words = file.map(FileChannel.MapMode.READ_WRITE, 0, (long) CONTROL_WORDS * Long.BYTES)
                    .order(ByteOrder.nativeOrder())
                    .asLongBuffer();
            return new FaultShim(library, control, words);
        }
    }

    /** Returns faults without an effect, for a machine without a C compiler. */
    public static FaultShim none() {
        return new FaultShim(null, null, LongBuffer.allocate(CONTROL_WORDS));
    }

    /** Returns the environment variables that the node's process needs. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", control.toString());
    }

    /** Sets the wall clock's distance from the machine's; the monotonic clock is not changed. */
    public void stepWallClock(long offsetNanos) {
        words.put(WALL_CLOCK_OFFSET_WORD, offsetNanos);
    }

    /** Makes one in {@code interval} of these calls fail until {@link #heal}. */
    public void fail(SystemCall call, Errno error, int interval) {
        words.put(firstWordOf(call) + INTERVAL_WORD, interval);
        words.put(firstWordOf(call) + ERRNO_WORD, error.number);
    }

    /** Makes the next {@code count} of these calls fail. */
    public void failNext(SystemCall call, Errno error, int count) {
        fail(call, error, -count);
    }

    /** Lets these calls succeed again. */
    public void heal(SystemCall call) {
        words.put(firstWordOf(call) + ERRNO_WORD, 0);
    }

    /** Limits the bytes that one read and one write of a socket can transfer. */
    public void limitTransfers(int maxReadBytes, int maxWriteBytes) {
        words.put(MAX_READ_WORD, maxReadBytes);
        words.put(MAX_WRITE_WORD, maxWriteBytes);
    }

    /** Removes the limits of {@link #limitTransfers}. */
    public void removeTransferLimits() {
        limitTransfers(0, 0);
    }

    /** Returns how many of these calls have failed. */
    public long failureCount(SystemCall call) {
        return words.get(firstWordOf(call) + FAILURES_WORD);
    }

    /** Returns how many calls of all kinds have failed. */
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
