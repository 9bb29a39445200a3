package fawnlb.backend;

import fawnlb.decision.AttemptOutcome;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.proxy.Backends;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import fawnlb.stream.StreamRegistry;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One endpoint as a member of the pool: whether it may be sent requests, its idle connections, and the exchanges that
 * are started on it.
 *
 * <p>A backend is an actor. {@link #remove}, {@link #setDraining}, {@link #startAttempt} and {@link #checkHealth} leave
 * a message in its mailbox and may be called from any actor of its event loop; all other methods belong to the
 * backend's own messages and to the exchanges that run in them.
 */
@EventLoopOnly
final class Backend {
    private final BackendIdentity identity;
    private final BackendPool pool;
    private final Mailbox mailbox;
    private final IdleConnections idleConnections;
    private boolean removed;
    private boolean draining;

    Backend(BackendIdentity identity, BackendPool pool, Mailbox mailbox) {
        this.identity = identity;
        this.pool = pool;
        this.mailbox = mailbox;
        this.idleConnections = new IdleConnections(
                limits().minRestNanos(), limits().backendIdleTimeoutNanos(), timers(), pool::onSocketClosed);
    }

    // ---- Membership: called by the pool --------------------------------------------------------------------

    BackendIdentity identity() {
        return identity;
    }

    /**
     * Closes the idle connections and starts nothing more; attempts that were sent run on. The stream registry is
     * notified in a message too, behind the attempts that wait in the mailbox: it would otherwise forget the backend
     * before such an attempt opens its stream, and keep the new record for ever.
     */
    void remove() {
        mailbox.tellAlways(() -> {
            removed = true;
            streams().onBackendRemoved(identity.id());
            idleConnections.closeAll();
        });
    }

    /** Sets whether new requests are refused, also those that wait for a connection; attempts that were sent run on. */
    void setDraining(boolean isDraining) {
        mailbox.tellAlways(() -> draining = isDraining);
    }

    /** Starts an attempt; the contract is that of {@link Backends#startAttempt}. */
    Backends.Attempt startAttempt(AttemptParameters parameters, Backends.AttemptListener listener) {
        AttemptExchange exchange = new AttemptExchange(this, parameters, listener);
        boolean accepted = mailbox.tell(
                () -> {
                    exchange.openStream();
                    exchange.start();
                },
                exchange::onInternalError);
        if (!accepted) {
            exchange.releaseRequest();
            listener.onAttemptEnded(AttemptEnd.of(EndReason.NOT_SENT), 0, List.of());
        }
        return reason -> mailbox.tellOrFail(() -> exchange.cancel(reason), exchange::onInternalError);
    }

    /** Starts a health check; the listener is called once. */
    void checkHealth(Backends.HealthCheckListener listener) {
        HealthCheckExchange exchange = new HealthCheckExchange(this, listener);
        if (!mailbox.tell(exchange::start)) {
            listener.onHealthChecked(AttemptOutcome.NEVER_SENT, List.of());
        }
    }

    /** The connections without a request; the pool may close the oldest to make room for another backend. */
    IdleConnections idleConnections() {
        return idleConnections;
    }

    // ---- For the exchanges ---------------------------------------------------------------------------------

    InetSocketAddress address() {
        return identity.address();
    }

    Dialect dialect() {
        return identity.dialect();
    }

    boolean isRemoved() {
        return removed;
    }

    boolean isDraining() {
        return draining;
    }

    Timers timers() {
        return pool.timers();
    }

    BackendPool.Limits limits() {
        return pool.limits();
    }

    CutStreamLog cutStreamLog() {
        return pool.cutStreamLog();
    }

    StreamRegistry streams() {
        return pool.streams();
    }

    Mailbox mailbox() {
        return mailbox;
    }

    /** An idle connection that can carry a request, null if there is none. */
    HttpClientConnection takeIdleConnection() {
        return idleConnections.take();
    }

    /** Starts to connect, and returns false without calling the handler if no more connections may be opened. */
    boolean connect(HttpClientConnection.ConnectHandler handler) {
        if (!pool.makeRoomForSocket()) {
            return false;
        }
        pool.onSocketOpened();
        HttpClientConnection.connect(pool.thread(), timers(), address(), limits().connectTimeoutNanos(), handler);
        return true;
    }

    /** Gives back the socket of a connect that failed. */
    void onConnectFailed() {
        pool.onSocketClosed();
    }

    /** Closes a connection that carried a request. */
    void closeConnection(HttpClientConnection connection) {
        connection.close();
        pool.onSocketClosed();
    }

    /** Closes a connection whose request is given up, so that the rest of it is not sent. */
    void abortConnection(HttpClientConnection connection) {
        connection.abort();
        pool.onSocketClosed();
    }

    /** Keeps a connection for the next request, and closes it where no further request may follow. */
    void returnToIdle(HttpClientConnection connection) {
        if (removed) {
            closeConnection(connection);
            return;
        }
        idleConnections.add(connection);
        timers().schedule(idleConnections.retireAfterNanos(), () -> mailbox.tellAlways(idleConnections::closeExpired));
    }
}
