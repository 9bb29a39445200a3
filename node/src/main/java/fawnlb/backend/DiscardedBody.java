package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import java.nio.ByteBuffer;

/**
 * The body of an error that the client does not get. It is read up to a size and a time, so that its connection can be
 * used again. Belongs to the exchange that reads the response.
 */
@EventLoopOnly
final class DiscardedBody {
    private static final int MAX_BYTES = 64 * 1024;
    private static final long TIMEOUT_NANOS = 250_000_000;

    private final Timers.Timer timeout;
    private long bytes;

    /** Starts the timeout. */
    DiscardedBody(Timers timers, Runnable onTimeout) {
        this.timeout = timers.schedule(TIMEOUT_NANOS, onTimeout);
    }

    /** Takes the next bytes, and returns whether it is worth while to read on. */
    boolean discard(ByteBuffer part) {
        bytes += part.remaining();
        return bytes <= MAX_BYTES;
    }

    /** Stops the timeout. */
    void close() {
        timeout.cancel();
    }
}
