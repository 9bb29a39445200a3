package fawnlb.lab.soak;

import fawnlb.lab.load.PostRequest;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Hundreds of clients at a time that make a node hold connections, bodies or answers. Methods last as long as their
 * crowds. Thread-safe.
 */
final class ClientCrowds {
    /** More than the clients' part of 1,024 descriptors. */
    private static final int IDLE_CLIENTS = 700;

    private static final int SLOW_SENDERS = 300;
    private static final int SLOW_READERS = 120;
    private static final int BODY_BYTES = 250_000;
    private static final String LONG_ANSWER_PATH = "/v1/chat/completions?out=28&pad=8000";

    private final RuleChecker rules;
    private final AtomicInteger lastRequest = new AtomicInteger();

    ClientCrowds(RuleChecker rules) {
        this.rules = rules;
    }

    /** Opens connections and sends nothing. */
    void connectIdleClients(NodeProcess node, int durationMillis) throws IOException, InterruptedException {
        runCrowd(node, durationMillis, IDLE_CLIENTS, () -> "");
    }

    /** Sends the first half of large bodies. */
    void sendHalfBodies(NodeProcess node, int durationMillis) throws IOException, InterruptedException {
        String body = "x".repeat(BODY_BYTES / 2);
        runCrowd(
                node,
                durationMillis,
                SLOW_SENDERS,
                () -> requestStart("half") + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body);
    }

    private String requestStart(String idPrefix) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nX-Class: " + NodeProcess.IDEMPOTENT_CLASS
                + "\r\nX-Request-Id: " + idPrefix + lastRequest.incrementAndGet() + "\r\n";
    }

    /** Requests long answers and reads nothing of them. */
    void requestUnreadAnswers(NodeProcess node, int durationMillis) throws IOException, InterruptedException {
        runCrowd(node, durationMillis, SLOW_READERS, () -> {
            String requestId = "unread" + lastRequest.incrementAndGet();
            rules.onUnreadRequestSent(requestId, node.name());
            return new String(
                    PostRequest.to(LONG_ANSWER_PATH)
                            .header("X-Request-Id", requestId)
                            .header("X-Class", NodeProcess.IDEMPOTENT_CLASS)
                            .header("X-Key", requestId)
                            .header("X-Deadline-Ms", 3000)
                            .toBytes("{\"model\":\"advisor\",\"stream\":true,\"messages\":[]}"),
                    StandardCharsets.US_ASCII);
        });
    }

    private void runCrowd(NodeProcess node, int durationMillis, int count, Supplier<String> requests)
            throws IOException, InterruptedException {
        try (MalformedClients clients = new MalformedClients(node.address())) {
            boolean isAccepted = true;
            for (int i = 0; i < count && isAccepted; i++) {
                isAccepted = clients.connect(requests.get());
            }
            TimeUnit.MILLISECONDS.sleep(durationMillis);
        }
    }
}
