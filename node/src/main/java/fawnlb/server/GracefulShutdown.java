package fawnlb.server;

import fawnlb.client.ClientConnectionTracker;
import fawnlb.eventloop.EventLoopCall;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metrics;
import fawnlb.proxy.RequestProxy;
import java.util.logging.Logger;

/**
 * The graceful shutdown of a server: it denies readiness, still accepts connections for a moment, then closes its
 * listeners, and waits until every request that it accepted has been answered. It may be run on any thread but the I/O
 * thread, which does the work meanwhile.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());
    /** Clients open connections for up to 0.4 s after SIGTERM, until they have noticed that the server is draining. */
    private static final long ACCEPT_GRACE_PERIOD_MILLIS = 600;
    /** How often the open requests are counted. */
    private static final long POLL_INTERVAL_MILLIS = 20;
    /** How often the log says what the shutdown waits for. */
    private static final long LOG_INTERVAL_NANOS = 5_000_000_000L;

    private final EventLoop eventLoop;
    private final ReadinessGate readiness;
    private final HttpListeners listeners;
    private final ClientConnectionTracker connections;
    private final RequestProxy requestProxy;
    private boolean complete;

    GracefulShutdown(
            EventLoop eventLoop,
            ReadinessGate readiness,
            HttpListeners listeners,
            ClientConnectionTracker connections,
            RequestProxy requestProxy) {
        this.eventLoop = eventLoop;
        this.readiness = readiness;
        this.listeners = listeners;
        this.connections = connections;
        this.requestProxy = requestProxy;
    }

    /**
     * Shuts down and returns when all requests have been answered. A second caller waits for the first one's shutdown.
     * An interrupt ends the wait, and the calling thread stays interrupted.
     */
    synchronized void run() {
        if (complete) {
            return;
        }
        readiness.beginGracefulShutdown();
        connections.beginGracefulShutdown();
        requestProxy.beginGracefulShutdown();
        try {
            Thread.sleep(ACCEPT_GRACE_PERIOD_MILLIS);
            requestProxy.stopAdmitting();
            listeners.closeGracefully();
            awaitInFlightRequests();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info(LogLine.event("graceful shutdown complete")
                .with("counters", Metrics.summary())
                .toString());
        complete = true;
    }

    private void awaitInFlightRequests() throws InterruptedException {
        long startedAt = System.nanoTime();
        long nextLogNanos = LOG_INTERVAL_NANOS;
        int openConnections = closeIdleConnections();
        while (openConnections > 0 || requestProxy.openRequests() > 0) {
            if (System.nanoTime() - startedAt > nextLogNanos) {
                LOG.info(LogLine.event("graceful shutdown waits for open requests")
                        .with("client_connections", openConnections)
                        .with("open_requests", requestProxy.openRequests())
                        .elapsedNanos(System.nanoTime() - startedAt)
                        .toString());
                nextLogNanos += LOG_INTERVAL_NANOS;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
            openConnections = closeIdleConnections();
        }
    }

    /**
     * Closes the connections that carry no request, and returns how many are left. It is called only when the listeners
     * are closed: a client whose idle connection is closed while others are accepted connects again at once.
     */
    private int closeIdleConnections() throws InterruptedException {
        return EventLoopCall.callAndWait(eventLoop.thread(), connections::closeIdleConnections);
    }
}
