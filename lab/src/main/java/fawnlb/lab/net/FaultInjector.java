package fawnlb.lab.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Alters the bytes of one response on their way to the connection, as a {@link Fault} says. */
final class FaultInjector {
    /** Bytes that are valid in no API format and, because of 0xff and 0xc0, not in UTF-8 either. */
    private static final byte[] GARBAGE_BYTES = {
        0, 1, 2, (byte) 0xff, (byte) 0xfe, 3, 4, 5, (byte) 0xc0, 6, 7, 8, 0, 0, 1, 2
    };

    /** The finest interval that the executor keeps: slow enough for each byte to travel alone. */
    private static final long BYTE_INTERVAL_MILLIS = 1;

    /** How often an endless response sends something. */
    private static final long ENDLESS_INTERVAL_MILLIS = 300;
    /** An event of more bytes than these takes six seconds, in which its client gets no other. */
    private static final long SLOW_BYTE_INTERVAL_MILLIS = 100;

    private static final int SLOW_BYTES = 60;

    private static final String DUPLICATE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

    private final HttpExchange exchange;
    private final Fault fault;
    private final XnioExecutor executor;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    /** Response bytes before the fault that were forwarded; counts up to the fault's offset. */
    private int forwardedBytes;

    private boolean injected;
    private boolean discarding;
    private boolean buffering;
    private boolean responseEnded;

    FaultInjector(HttpExchange exchange, Fault fault, XnioExecutor executor) {
        this.exchange = exchange;
        this.fault = fault;
        this.executor = executor;
        buffering = fault.kind() == Fault.Kind.BUFFERED_TO_END;
    }

    /** Returns the fault of the response. */
    Fault.Kind kind() {
        return fault.kind();
    }

    /** Returns whether bytes are held back. */
    boolean isBuffering() {
        return buffering;
    }

    /** Returns whether the response has been altered. */
    boolean isInjected() {
        return injected;
    }

    /** Takes the next bytes of the unaltered response. */
    void write(byte[] bytes) {
        if (discarding) {
            return;
        }
        if (injected || buffering || !fault.kind().isPositional()) {
            forward(bytes);
            return;
        }
        if (fault.kind().concernsProgress()) {
            writeToFaultBehindChunk(bytes);
            return;
        }
        int bytesBeforeFault = Math.min(bytes.length, fault.offset() - forwardedBytes);
        forwardedBytes += bytesBeforeFault;
        forward(Arrays.copyOf(bytes, bytesBeforeFault));
        if (bytesBeforeFault < bytes.length) {
            injected = true;
            inject();
            int omittedBytes = fault.kind() == Fault.Kind.MISSING_BYTE ? 1 : 0;
            forward(Arrays.copyOfRange(bytes, bytesBeforeFault + omittedBytes, bytes.length));
        }
    }

    /** Each write holds whole chunks, so the fault begins at the end of the one that reaches its offset. */
    private void writeToFaultBehindChunk(byte[] bytes) {
        forward(bytes);
        forwardedBytes += bytes.length;
        if (forwardedBytes < fault.offset()) {
            return;
        }
        injected = true;
        if (fault.kind().isEndless()) {
            discarding = true;
            EndlessBytes endless = EndlessBytes.of(fault.kind());
            exchange.send(endless.firstBytes());
            repeat(endless.repeatedBytes());
        } else {
            buffering = true;
            executor.executeAfter(() -> sendSlowByte(0), SLOW_BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void repeat(byte[] bytes) {
        executor.executeAfter(
                () -> {
                    if (exchange.isOpen()) {
                        exchange.send(bytes);
                        repeat(bytes);
                    }
                },
                ENDLESS_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void sendSlowByte(int sentBytes) {
        if (!exchange.isOpen()) {
            return;
        }
        boolean hasSent = sendBufferedByte();
        int count = sentBytes + (hasSent ? 1 : 0);
        if (count >= SLOW_BYTES || !hasSent && responseEnded) {
            flushBuffered();
        } else {
            executor.executeAfter(() -> sendSlowByte(count), SLOW_BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether there was a byte to send. */
    private boolean sendBufferedByte() {
        byte[] bytes = buffered.toByteArray();
        if (bytes.length == 0) {
            return false;
        }
        exchange.send(new byte[] {bytes[0]});
        buffered.reset();
        buffered.write(bytes, 1, bytes.length - 1);
        return true;
    }

    private void forward(byte[] bytes) {
        if (bytes.length == 0 || discarding) {
            return;
        }
        if (buffering) {
            buffered.writeBytes(bytes);
        } else {
            exchange.send(bytes);
        }
    }

    /** Carries out a fault whose offset has been reached. */
    private void inject() {
        switch (fault.kind()) {
            case STALL -> discarding = true;
            case PAUSE -> {
                buffering = true;
                executor.executeAfter(this::flushBuffered, fault.pauseNanos(), TimeUnit.NANOSECONDS);
            }
            case CLOSE -> {
                discarding = true;
                exchange.closeWhenFlushed();
            }
            case RESET -> {
                discarding = true;
                exchange.reset();
            }
            case HALF_CLOSE -> {
                discarding = true;
                exchange.shutdownOutput();
            }
            case GARBAGE -> exchange.send(GARBAGE_BYTES);
            case MISSING_BYTE -> {
                // The caller leaves the byte out.
            }
            case BYTE_AT_A_TIME -> {
                buffering = true;
                executor.executeAfter(this::sendNextByte, BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            default -> throw new IllegalStateException(fault.kind() + " has no offset");
        }
    }

    private void sendNextByte() {
        sendBufferedByte();
        if (exchange.isOpen() && (buffered.size() > 0 || !responseEnded)) {
            executor.executeAfter(this::sendNextByte, BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushBuffered() {
        buffering = false;
        exchange.send(buffered.toByteArray());
        buffered.reset();
    }

    /** Takes note that the last byte of the unaltered response was written. */
    void endResponse() {
        responseEnded = true;
        injected |= !fault.kind().isPositional();
        if (fault.kind() == Fault.Kind.BUFFERED_TO_END) {
            flushBuffered();
        } else if (fault.kind() == Fault.Kind.DUPLICATE_RESPONSE) {
            exchange.send(DUPLICATE_RESPONSE.getBytes(StandardCharsets.US_ASCII));
        }
    }
}
