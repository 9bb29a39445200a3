package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.HttpClientConnection;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import fawnlb.stream.EndReason;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.logging.Logger;

/**
 * One request and its response on a connection to a backend, from finding the connection to the end of the exchange.
 * Subclasses say what is sent and what becomes of the response. All methods run in messages of the backend's actor or
 * in the connection's callbacks on the same event loop.
 */
@EventLoopOnly
abstract class BackendExchange implements HttpClientConnection.ResponseHandler, HttpClientConnection.ConnectHandler {
    private static final Logger LOG = Logger.getLogger(BackendExchange.class.getName());

    /**
     * Connects that fail for a shortage of this machine (descriptors, ports, buffers) are repeated this often: with the
     * delay below, for a fifth of a second, in which other connections close.
     */
    private static final int MAX_LOCAL_CONNECT_FAILURES = 4;

    private static final long LOCAL_FAILURE_RETRY_DELAY_NANOS = 50_000_000;

    private final Backend backend;
    private HttpClientConnection connection;
    private boolean finished;
    private int localConnectFailures;

    BackendExchange(Backend backend) {
        this.backend = backend;
    }

    // ---- What subclasses define ----------------------------------------------------------------------------

    /** Whether the request may be written now; asked before a connection is looked for, and when one has come up. */
    abstract boolean maySend();

    /** Encodes the request when it is written, since it may state how much time is left. */
    abstract ByteBuffer[] encodeRequest();

    /** Called when the request has been handed to the connection. */
    void onRequestSent() {}

    /** Called when the response has ended as its framing says; the connection has been given back. */
    abstract void onResponseComplete();

    /** Called once, with the reason for which the exchange has ended. */
    abstract void onFinished(EndReason reason);

    // ---- Connecting and sending ----------------------------------------------------------------------------

    /** Sends the request on an idle connection or a new one; ends the exchange if neither is to be had. */
    final void start() {
        if (finished) {
            return;
        }
        if (!maySend()) {
            finish(EndReason.NOT_SENT);
            return;
        }
        connection = backend.takeIdleConnection();
        if (connection != null) {
            sendRequest();
        } else if (!backend.connect(this)) {
            // The shortage of connections is this instance's: it must not count as a failed connect of the backend.
            finish(EndReason.NOT_SENT);
        }
    }

    @Override
    public final void onLocalFailure(IOException cause) {
        backend.onConnectFailed();
        Metrics.increment(Metric.LOCAL_CONNECT_FAILURES, "connect");
        if (++localConnectFailures > MAX_LOCAL_CONNECT_FAILURES) {
            LOG.warning(LogLine.event("connect failed for lack of a local resource")
                    .backend(backend.identity().hostAndPort())
                    .reason(cause.getMessage())
                    .toString());
            finish(EndReason.NOT_SENT);
        } else {
            backend.timers()
                    .schedule(
                            LOCAL_FAILURE_RETRY_DELAY_NANOS,
                            () -> backend.mailbox().tellAlways(this::start));
        }
    }

    @Override
    public final void onConnected(HttpClientConnection opened) {
        if (opened == null) {
            backend.onConnectFailed();
            finish(EndReason.CONNECT_FAILED);
        } else if (finished || !maySend()) {
            backend.returnToIdle(opened);
            finish(EndReason.NOT_SENT);
        } else {
            connection = opened;
            sendRequest();
        }
    }

    private void sendRequest() {
        connection.send(this, encodeRequest());
        onRequestSent();
    }

    // ---- Ending --------------------------------------------------------------------------------------------

    @Override
    public final void onComplete(boolean reusable) {
        HttpClientConnection used = connection;
        connection = null;
        if (reusable) {
            backend.returnToIdle(used);
        } else {
            backend.closeConnection(used);
        }
        onResponseComplete();
    }

    @Override
    public final void onFailure(HttpClientConnection.CallFailure failure) {
        closeConnection();
        finish(
                switch (failure) {
                    case REQUEST_NOT_WRITTEN -> EndReason.CONNECT_FAILED;
                    case CONNECTION_CLOSED -> EndReason.CONNECTION_LOST;
                    case MALFORMED_RESPONSE -> EndReason.MALFORMED;
                    case HEAD_TIMEOUT -> EndReason.STALLED;
                });
    }

    /** Ends the exchange from this side. Closing the connection is what makes the backend stop its work. */
    final void abort(EndReason reason) {
        if (!finished && connection != null) {
            backend.abortConnection(connection);
            connection = null;
        }
        finish(reason);
    }

    private void closeConnection() {
        if (connection != null) {
            backend.closeConnection(connection);
            connection = null;
        }
    }

    /** Ends the exchange with this reason, without effect if it has ended. */
    final void finish(EndReason reason) {
        if (!finished) {
            finished = true;
            onFinished(reason);
        }
    }

    // ---- State for subclasses ------------------------------------------------------------------------------

    final Backend backend() {
        return backend;
    }

    /** The connection that carries the exchange, null before it is sent and after its response. */
    final HttpClientConnection connection() {
        return connection;
    }

    final boolean isFinished() {
        return finished;
    }
}
