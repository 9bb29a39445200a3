package fawnlb.lab.net;

import fawnlb.lab.net.HttpServer.Exchange;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Carries out a fault on the bytes of one answer, on their way to the connection. */
final class Spoiler {
    private static final byte[] GARBAGE = {0, 1, 2, (byte) 0xff, (byte) 0xfe, 3, 4, 5, (byte) 0xc0, 6, 7, 8, 0, 0, 1, 2
    };
    private static final long DRIP_MS = 1;
    private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

    private final Exchange exchange;
    private final Fault fault;
    private final XnioExecutor thread;
    private final ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private int passed;
    private boolean struck;
    private boolean mute;
    private boolean holding;
    private boolean over;

    Spoiler(Exchange exchange, Fault fault, XnioExecutor thread) {
        this.exchange = exchange;
        this.fault = fault;
        this.thread = thread;
        holding = fault.kind() == Fault.Kind.BURST;
    }

    boolean struck() {
        return struck;
    }

    void write(byte[] bytes) {
        if (mute) {
            return;
        }
        if (struck || holding || !fault.kind().placed()) {
            put(bytes);
            return;
        }
        int before = Math.min(bytes.length, fault.at() - passed);
        passed += before;
        put(Arrays.copyOf(bytes, before));
        if (before < bytes.length) {
            struck = true;
            put(Arrays.copyOfRange(bytes, before + strike(), bytes.length));
        }
    }

    private void put(byte[] bytes) {
        if (bytes.length == 0 || mute) {
            return;
        }
        if (holding) {
            waiting.writeBytes(bytes);
        } else {
            exchange.put(bytes);
        }
    }

    /** How many bytes more than those before it are left out. */
    private int strike() {
        switch (fault.kind()) {
            case STALL -> mute = true;
            case PAUSE -> {
                holding = true;
                thread.executeAfter(this::release, fault.pause(), TimeUnit.NANOSECONDS);
            }
            case CLOSE -> {
                mute = true;
                exchange.closeAfter();
            }
            case RESET -> {
                mute = true;
                exchange.reset();
            }
            case HALF_CLOSE -> {
                mute = true;
                exchange.endOutput();
            }
            case GARBAGE -> exchange.put(GARBAGE);
            case WRONG_SIZE -> {
                return 1;
            }
            case DRIP -> {
                holding = true;
                thread.executeAfter(this::drip, DRIP_MS, TimeUnit.MILLISECONDS);
            }
            default -> throw new IllegalStateException(fault.kind() + " strikes nowhere");
        }
        return 0;
    }

    private void drip() {
        byte[] bytes = waiting.toByteArray();
        if (bytes.length > 0) {
            exchange.put(new byte[] {bytes[0]});
            waiting.reset();
            waiting.write(bytes, 1, bytes.length - 1);
        }
        if (exchange.isOpen() && (bytes.length > 1 || !over)) {
            thread.executeAfter(this::drip, DRIP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void release() {
        holding = false;
        exchange.put(waiting.toByteArray());
        waiting.reset();
    }

    /** The answer's last byte was written. */
    void over() {
        over = true;
        struck |= !fault.kind().placed();
        if (fault.kind() == Fault.Kind.BURST) {
            release();
        } else if (fault.kind() == Fault.Kind.SECOND) {
            exchange.put(SECOND.getBytes(StandardCharsets.US_ASCII));
        }
    }
}
