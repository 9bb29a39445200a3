package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.lab.rules.RuleChecker;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/** Sends single requests to one node and returns their complete responses. Bound to one I/O thread. */
public final class LoadClient {
    private final Timers timers;
    private final RuleChecker rules;
    private final NodeConnections connections;

    /** Creates a client of a node; {@code nodeName} is the name by which the rules know it. */
    public LoadClient(
            XnioIoThread thread, Timers timers, RuleChecker rules, String nodeName, InetSocketAddress address) {
        this.timers = timers;
        this.rules = rules;
        this.connections = new NodeConnections(thread, timers, nodeName, address);
    }

    /** Sends a request on an idle connection or a new one. The callback gets the response, whatever has happened. */
    public void send(ClientRequest request, Consumer<ClientResponse> callback) {
        HttpClientConnection idle = connections.pollIdle();
        if (idle != null) {
            new PendingRequest(request, callback, idle, true).send();
        } else {
            openAndSend(request, callback);
        }
    }

    private void openAndSend(ClientRequest request, Consumer<ClientResponse> callback) {
        connections.open(opened -> {
            if (opened == null) {
                callback.accept(ClientResponse.notConnected(request.id()));
            } else {
                new PendingRequest(request, callback, opened, false).send();
            }
        });
    }

    /** A request on its connection, until its response has ended. */
    private final class PendingRequest implements HttpClientConnection.ResponseHandler {
        private final ClientRequest request;
        private final Consumer<ClientResponse> callback;
        private final HttpClientConnection connection;
        private final boolean reused;
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
        private ResponseHead responseHead;
        private long sentAt;

        PendingRequest(
                ClientRequest request,
                Consumer<ClientResponse> callback,
                HttpClientConnection connection,
                boolean reused) {
            this.request = request;
            this.callback = callback;
            this.connection = connection;
            this.reused = reused;
        }

        void send() {
            sentAt = timers.now();
            rules.onRequestSent(sentAt, request.id(), connections.nodeName());
            PostRequest post = PostRequest.to(request.path()).header("X-Request-Id", request.id());
            request.headers().forEach(post::header);
            connection.send(this, ByteBuffer.wrap(post.toBytes(request.body())));
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
                connections.release(connection);
            }
            report(true);
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure failure) {
            if (responseHead == null && reused) {
                // The node closed the idle connection while the request was on its way: send it on a new one.
                rules.onIdleConnectionClosed(request.id());
                connections.discardIdle();
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
