package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;

/** Counts the failed accepts of one listener, and logs them at a limited rate. */
@EventLoopOnly
final class AcceptFailureLog {
    /** An accept that keeps failing is retried 20 times a second; a line every 10 s is enough to see it. */
    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;

    private static final Logger LOG = Logger.getLogger(Listener.class.getName());

    private final Timers timers;
    private int unloggedFailures;
    private long loggedAtNanos;

    AcceptFailureLog(Timers timers) {
        this.timers = timers;
        this.loggedAtNanos = timers.now() - LOG_INTERVAL_NANOS;
    }

    /** Records one failed accept. */
    void record(InetSocketAddress address, IOException cause) {
        unloggedFailures++;
        Metrics.increment(Metric.ACCEPT_FAILURES, "accept");
        long nowNanos = timers.now();
        if (nowNanos - loggedAtNanos >= LOG_INTERVAL_NANOS) {
            LOG.warning(LogLine.event("accept failed")
                    .with("address", address.toString())
                    .with("failures", unloggedFailures)
                    .reason(cause.getMessage())
                    .toString());
            loggedAtNanos = nowNanos;
            unloggedFailures = 0;
        }
    }
}
