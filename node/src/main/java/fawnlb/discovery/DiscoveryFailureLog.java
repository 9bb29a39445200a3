package fawnlb.discovery;

import fawnlb.eventloop.Timers;
import java.util.logging.Logger;

/**
 * Logs failed calls to discovery and the answer that ends them. A discovery that stays away fails many calls in the
 * same way, and a line for each would hide all others: equal failures are one line in ten seconds, with the number of
 * those left out.
 */
final class DiscoveryFailureLog {
    private static final Logger LOG = Logger.getLogger(DiscoveryFailureLog.class.getName());
    private static final long FAILURE_LOG_INTERVAL_NANOS = 10_000_000_000L;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Timers timers;
    private String lastLoggedFailure = "";
    private long lastLoggedAt;
    private int suppressedFailures;
    private int consecutiveFailures;
    private long failingSince;

    DiscoveryFailureLog(Timers timers) {
        this.timers = timers;
    }

    /** A call has failed for this reason. */
    void logFailure(String failure) {
        failingSince = consecutiveFailures++ == 0 ? timers.now() : failingSince;
        if (failure.equals(lastLoggedFailure) && timers.now() - lastLoggedAt < FAILURE_LOG_INTERVAL_NANOS) {
            suppressedFailures++;
            return;
        }
        LOG.info("discovery: " + failure
                + (suppressedFailures > 0
                        ? "; " + suppressedFailures + " more calls failed since the last such line"
                        : ""));
        lastLoggedFailure = failure;
        lastLoggedAt = timers.now();
        suppressedFailures = 0;
    }

    /** A watch was answered, at this revision: what is received from here on is discovery's present list. */
    void logRecovery(long revision) {
        if (consecutiveFailures > 0) {
            LOG.info("discovery: answered at revision " + revision + " after " + consecutiveFailures
                    + " failed calls in " + (timers.now() - failingSince) / NANOS_PER_MILLISECOND + " ms");
        }
        consecutiveFailures = 0;
        lastLoggedFailure = "";
    }
}
