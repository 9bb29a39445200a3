package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.xnio.XnioIoThread;

/**
 * One HTTP call to discovery on a connection of its own: connect, request, response, timeout and failure. A call fails
 * at most once; it is then closed, counted and logged, and the listener learns of it. All of it runs on the I/O thread.
 */
@EventLoopOnly
abstract class DiscoveryCall implements HttpClientConnection.ResponseHandler {
    /** Enough for some 20,000 endpoints. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Context context;
    private final InetSocketAddress address;
    private final String path;
    private final String name;
    private final WatchEventReader reader = new WatchEventReader(MAX_LIST_BYTES);
    private HttpClientConnection connection;
    private Timers.Timer timeoutTimer;
    private long startedAt;
    private boolean closed;

    /**
     * What all calls of one client share.
     *
     * @param mailbox runs the calls' timers in turn with the client's own messages
     */
    record Context(
            XnioIoThread ioThread,
            Timers timers,
            Mailbox mailbox,
            EndpointListReceiver receiver,
            DiscoveryFailureLog failureLog) {}

    /** Creates a call of this path; the name stands for its kind in the log. */
    DiscoveryCall(Context context, InetSocketAddress address, String path, String name) {
        this.context = context;
        this.address = address;
        this.path = path;
        this.name = name;
    }

    /** Takes an object or a heartbeat of the response. */
    abstract void onEvent(WatchEvent event) throws EndpointListFormatException;

    /** The response has ended as its framing says. */
    abstract void onResponseEnd() throws EndpointListFormatException;

    /**
     * The response has come further: an event is complete, or a part of one. Other bytes say nothing of whether an
     * event will follow.
     *
     * @param hasEvents whether events are complete, which follow
     */
    void onProgress(boolean hasEvents) {}

    /** Connects and sends the request. */
    final void start() {
        startedAt = context.timers().now();
        armTimeout(DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS, () -> fail("silent", EndpointUpdateKind.TIMED_OUT));
        HttpClientConnection.connect(
                context.ioThread(),
                context.timers(),
                address,
                DiscoveryTimeouts.CONNECT_TIMEOUT_NANOS,
                this::onConnected);
    }

    /** @param opened the connection, or null if there is none */
    private void onConnected(HttpClientConnection opened) {
        connection = opened;
        if (opened == null) {
            fail("no connection");
        } else if (closed) {
            opened.close();
        } else {
            opened.send(this, request());
        }
    }

    private ByteBuffer request() {
        String head =
                "GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ':' + address.getPort() + "\r\n\r\n";
        return ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Runs the action after the delay, in place of the timeout that was set before. */
    final void armTimeout(long delayNanos, Runnable action) {
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        timeoutTimer =
                context.timers().schedule(delayNanos, () -> context.mailbox().tellAlways(action));
    }

    @Override
    public final void onHead(ResponseHead response) {
        if (response.status() != OK) {
            boolean hadQueued = response.status() == SERVICE_UNAVAILABLE
                    && context.timers().now() - startedAt >= DiscoveryTimeouts.MIN_QUEUED_NANOS;
            fail("status " + response.status(), hadQueued ? EndpointUpdateKind.THROTTLED : EndpointUpdateKind.FAILED);
        }
    }

    @Override
    public final void onBody(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        try {
            List<WatchEvent> events = reader.read(bytes);
            if (!events.isEmpty() || reader.hasAdvanced()) {
                onProgress(!events.isEmpty());
            }
            for (WatchEvent event : events) {
                onEvent(event);
            }
            connection.resumeReading();
        } catch (EndpointListFormatException e) {
            fail(e.getMessage());
        }
    }

    @Override
    public final void onComplete(boolean reusable) {
        try {
            if (!closed) {
                onResponseEnd();
            }
        } catch (EndpointListFormatException e) {
            fail(e.getMessage());
        }
    }

    @Override
    public final void onFailure(HttpClientConnection.CallFailure reason) {
        fail("broken");
    }

    final void fail(String reason) {
        fail(reason, EndpointUpdateKind.FAILED);
    }

    private void fail(String reason, EndpointUpdateKind kind) {
        if (!closed) {
            close();
            Metrics.increment(Metric.DISCOVERY_CALLS, resultLabel(kind));
            context.failureLog().logFailure(name, reason);
            context.receiver().callFailed(kind);
        }
    }

    /** The label's values are older than the names of the constants, and dashboards read them. */
    private static String resultLabel(EndpointUpdateKind kind) {
        return switch (kind) {
            case THROTTLED -> "crowded";
            case TIMED_OUT -> "unanswered";
            default -> "failed";
        };
    }

    /** Ends the call without a failure. */
    final void close() {
        closed = true;
        timeoutTimer.cancel();
        if (connection != null) {
            connection.close();
        }
    }

    final boolean isClosed() {
        return closed;
    }

    /** Whether an object of the response has begun and not ended. */
    final boolean isWithinObject() {
        return reader.isWithinObject();
    }

    final Context context() {
        return context;
    }
}
