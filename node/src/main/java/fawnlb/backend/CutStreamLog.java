package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.RateLimitedLog;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.stream.AttemptEnd;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs streams that ended at their clients before the answer was complete, for a reason on the backend's side: one line
 * a second, with the number of those left out. Belongs to the pool.
 */
@EventLoopOnly
final class CutStreamLog {
    private final RateLimitedLog log;

    CutStreamLog(Timers timers) {
        this.log = new RateLimitedLog(Logger.getLogger(CutStreamLog.class.getName()), Level.INFO, timers);
    }

    /** Records one stream that was cut. */
    void record(String requestId, String backend, AttemptEnd end) {
        log.log(() -> LogLine.event("stream cut")
                .requestId(requestId)
                .backend(backend)
                .reason(end.label()));
    }
}
