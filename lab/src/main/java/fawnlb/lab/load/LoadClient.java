package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.lab.rules.RuleChecker;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/** Asks single requests and tells in full what came back. All runs on one I/O thread. */
public final class LoadClient {
    private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000;

    private final XnioIoThread thread;
    private final Timers timers;
    private final RuleChecker rules;
    private final String nodeName;
    private final InetSocketAddress address;
    private final Deque<HttpClientConnection> idleConnections = new ArrayDeque<>();

    /** A request: path with query, headers as lines with their ends, and a body. */
    public record ClientRequest(String id, String path, String headers, String body) {}

    /**
     * What came back. {@code status}: 0 if no head came; {@code complete}: its framing ended as it should;
     * {@code elapsedNanos}: nanoseconds from the request's last byte to the end.
     */
    public record ClientResponse(
            String id, int status, String retryAfter, String body, boolean complete, long elapsedNanos) {}

    /** Node: the name under which the rule checker knows it. */
    public LoadClient(XnioIoThread thread, Timers timers, RuleChecker rules, String node, InetSocketAddress address) {
        this.thread = thread;
        this.timers = timers;
        this.rules = rules;
        this.nodeName = node;
        this.address = address;
    }

    public void send(ClientRequest request, Consumer<ClientResponse> callback) {
        HttpClientConnection connection = null;
        while (connection == null && !idleConnections.isEmpty()) {
            HttpClientConnection idle = idleConnections.pollLast();
            connection = idle.isUsable() ? idle : null;
        }
        if (connection != null) {
            new PendingRequest(request, callback, true).sendOn(connection);
        } else {
            openAndSend(request, callback);
        }
    }

    private void openAndSend(ClientRequest request, Consumer<ClientResponse> callback) {
        HttpClientConnection.connect(thread, timers, address, CONNECT_TIMEOUT_NANOS, opened -> {
            if (opened == null) {
                callback.accept(new ClientResponse(request.id(), 0, "", "", false, 0));
            } else {
                new PendingRequest(request, callback, false).sendOn(opened);
            }
        });
    }

    private final class PendingRequest implements HttpClientConnection.ResponseHandler {
        private final ClientRequest request;
        private final Consumer<ClientResponse> callback;
        private final boolean reused;
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
        private HttpClientConnection connection;
        private ResponseHead responseHead;
        private long sentAt;

        PendingRequest(ClientRequest request, Consumer<ClientResponse> callback, boolean reused) {
            this.request = request;
            this.callback = callback;
            this.reused = reused;
        }

        void sendOn(HttpClientConnection target) {
            connection = target;
            sentAt = timers.now();
            rules.onRequestSent(request.id(), nodeName);
            byte[] content = request.body().getBytes(StandardCharsets.UTF_8);
            connection.send(
                    this,
                    ByteBuffer.wrap(("POST " + request.path() + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: "
                                    + request.id() + "\r\n" + request.headers() + "Content-Length: " + content.length
                                    + "\r\n\r\n" + request.body())
                            .getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void onHead(ResponseHead response) {
            responseHead = response;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            responseBody.writeBytes(chunk);
            connection.resumeReading();
        }

        @Override
        public void onComplete(boolean reusable) {
            if (reusable) {
                idleConnections.addLast(connection);
            }
            report(true);
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure how) {
            if (responseHead == null && reused) {
                // The node closed an idle connection as the request crossed it.
                idleConnections.clear();
                openAndSend(request, callback);
            } else {
                report(false);
            }
        }

        private void report(boolean complete) {
            callback.accept(new ClientResponse(
                    request.id(),
                    responseHead == null ? 0 : responseHead.status(),
                    responseHead == null ? "" : responseHead.header("retry-after"),
                    responseBody.toString(StandardCharsets.UTF_8),
                    complete,
                    timers.now() - sentAt));
        }
    }
}
