package fawnlb.eventloop;

import fawnlb.metrics.LogLine;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Writes one line a second at most, each with the number of those that were left out since the one before. */
@EventLoopOnly
public final class RateLimitedLog {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Logger logger;
    private final Level level;
    private final Timers timers;
    private long loggedAtNanos;
    private int suppressed;

    /** Creates a log that has written nothing. */
    public RateLimitedLog(Logger logger, Level level, Timers timers) {
        this.logger = logger;
        this.level = level;
        this.timers = timers;
        this.loggedAtNanos = timers.now() - LOG_INTERVAL_NANOS;
    }

    /**
     * Writes a line, or counts it if the last one was written less than a second ago.
     *
     * @param line makes the line; called only if it is written
     */
    public void log(Supplier<LogLine> line) {
        long nowNanos = timers.now();
        if (nowNanos - loggedAtNanos < LOG_INTERVAL_NANOS) {
            suppressed++;
            return;
        }
        logger.log(level, line.get().with("suppressed", suppressed).toString());
        loggedAtNanos = nowNanos;
        suppressed = 0;
    }
}
