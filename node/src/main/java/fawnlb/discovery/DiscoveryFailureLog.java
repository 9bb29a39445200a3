package fawnlb.discovery;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.util.logging.Logger;

/**
 * Logs failed calls to discovery and the answer that ends them. A discovery that stays away fails many calls in the
 * same way, and a line for each would hide all others: equal failures are one line in ten seconds, with the number of
 * those left out.
 */
@EventLoopOnly
final class DiscoveryFailureLog {
    private static final Logger LOG = Logger.getLogger(DiscoveryFailureLog.class.getName());
    private static final long FAILURE_LOG_INTERVAL_NANOS = 10_000_000_000L;

    private final Timers timers;
    private Failure lastLogged;
    private long lastLoggedAt;
    private int suppressedFailures;
    private int consecutiveFailures;
    private long failingSince;

    /** What failed, and why; equal ones are limited. */
    private record Failure(String call, String reason) {}

    DiscoveryFailureLog(Timers timers) {
        this.timers = timers;
    }

    /**
     * A call has failed.
     *
     * @param call what kind of call
     */
    void logFailure(String call, String reason) {
        long now = timers.now();
        failingSince = consecutiveFailures++ == 0 ? now : failingSince;
        Failure failure = new Failure(call, reason);
        if (failure.equals(lastLogged) && now - lastLoggedAt < FAILURE_LOG_INTERVAL_NANOS) {
            suppressedFailures++;
            return;
        }
        LOG.info(line(failure));
        lastLogged = failure;
        lastLoggedAt = now;
        suppressedFailures = 0;
    }

    private String line(Failure failure) {
        LogLine line = LogLine.event("discovery call failed")
                .with("call", failure.call())
                .reason(failure.reason());
        return (suppressedFailures > 0 ? line.with("suppressed", suppressedFailures) : line).toString();
    }

    /** A watch was answered, at this revision: what is received from here on is discovery's present list. */
    void logRecovery(long revision) {
        if (consecutiveFailures > 0) {
            LOG.info(LogLine.event("discovery answered")
                    .with("revision", revision)
                    .with("failed_calls", consecutiveFailures)
                    .elapsedNanos(timers.now() - failingSince)
                    .toString());
        }
        consecutiveFailures = 0;
        lastLogged = null;
    }
}
