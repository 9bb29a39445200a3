package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.stream.AttemptEnd;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Logs streams that ended at their clients before the answer was complete, for a reason on the backend's side: one line
 * a second, with the number of those left out. Belongs to the pool.
 */
@EventLoopOnly
final class CutStreamLog {
    private static final Logger LOG = Logger.getLogger(CutStreamLog.class.getName());
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Timers timers;
    private long loggedAtNanos;
    private int suppressed;

    CutStreamLog(Timers timers) {
        this.timers = timers;
        this.loggedAtNanos = timers.now() - LOG_INTERVAL_NANOS;
    }

    /** Records one stream that was cut. */
    void record(String requestId, String backend, AttemptEnd end) {
        long nowNanos = timers.now();
        if (nowNanos - loggedAtNanos < LOG_INTERVAL_NANOS) {
            suppressed++;
            return;
        }
        LOG.info(LogLine.event("stream cut")
                .requestId(requestId)
                .backend(backend)
                .reason(end.label())
                .with("suppressed", suppressed)
                .toString());
        loggedAtNanos = nowNanos;
        suppressed = 0;
    }
}
