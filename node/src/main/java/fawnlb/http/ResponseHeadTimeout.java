package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;

/**
 * Limits the time from the first byte of a head to its end. Between an interim (1xx) head and the next it does not run.
 */
@EventLoopOnly
final class ResponseHeadTimeout {
    /** Backends send a head in one piece. A head that begins and does not end would hold its request for long. */
    private static final long TIMEOUT_NANOS = 500_000_000;

    private final Timers timers;
    private final Runnable onTimeout;
    private Timers.Timer timer;

    ResponseHeadTimeout(Timers timers, Runnable onTimeout) {
        this.timers = timers;
        this.onTimeout = onTimeout;
    }

    /** Must be called after each read of a response. */
    void update(boolean isWithinHead) {
        if (!isWithinHead) {
            cancel();
        } else if (timer == null) {
            timer = timers.schedule(TIMEOUT_NANOS, onTimeout);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
