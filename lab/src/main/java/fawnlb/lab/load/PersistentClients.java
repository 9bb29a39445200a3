package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

/**
 * Clients of one node that send a request as soon as the one before is answered, on the connection that they have for
 * as long as it stays open, until they can connect no more or are stopped. Bound to one I/O thread.
 */
public final class PersistentClients {
    private static final int DEADLINE_MILLIS = 3000;
    /** What clients wait beyond their deadline before they report a violation. */
    private static final long DEADLINE_GRACE_NANOS = 500_000_000;

    private static final long PAUSE_NANOS = 20_000_000;
    private static final String SHORT_ANSWER_PATH = "/v1/chat/completions?out=8";
    /** Answers of some seconds, so that a shutdown has to wait. */
    private static final String LONG_ANSWER_PATH = "/v1/chat/completions?out=80";
    /** Every fifth request is for a long answer. */
    private static final int LONG_ANSWER_INTERVAL = 5;

    private static final String BODY = "{\"model\":\"advisor\",\"stream\":true,\"messages\":[]}";
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final LoadClient client;
    private final Timers timers;
    private final RuleChecker rules;
    private final Supplier<String> requestIds;
    private final Consumer<Integer> onStatus;
    private int sentRequests;
    private boolean stopped;

    /**
     * Creates clients that have not started.
     *
     * @param client sends their requests
     * @param requestIds new ids of requests
     * @param onStatus learns the status of each response, 0 for a connection that ended without one
     */
    public PersistentClients(
            LoadClient client,
            Timers timers,
            RuleChecker rules,
            Supplier<String> requestIds,
            Consumer<Integer> onStatus) {
        this.client = client;
        this.timers = timers;
        this.rules = rules;
        this.requestIds = requestIds;
        this.onStatus = onStatus;
    }

    /** Starts this number of clients. */
    public void start(int count) {
        for (int i = 0; i < count; i++) {
            sendNext();
        }
    }

    /** Lets each client end with the answer that it waits for. */
    public void stop() {
        stopped = true;
    }

    private void sendNext() {
        if (stopped) {
            return;
        }
        String requestId = requestIds.get();
        Map<String, String> headers = Map.of(
                "X-Class",
                NodeProcess.IDEMPOTENT_CLASS,
                "X-Key",
                requestId,
                "X-Deadline-Ms",
                Integer.toString(DEADLINE_MILLIS));
        client.send(new ClientRequest(requestId, nextPath(), headers, BODY), this::onResponse);
    }

    private String nextPath() {
        return ++sentRequests % LONG_ANSWER_INTERVAL == 0 ? LONG_ANSWER_PATH : SHORT_ANSWER_PATH;
    }

    private void onResponse(ClientResponse response) {
        if (response.isNotConnected()) {
            return;
        }
        onStatus.accept(response.status());
        if (response.status() == 0) {
            rules.onConnectionLost(response.id());
        } else if (response.complete()) {
            onCompleteResponse(response);
        } else {
            rules.onStreamBroken(timers.now(), response.id());
        }
        timers.schedule(PAUSE_NANOS, this::sendNext);
    }

    private void onCompleteResponse(ClientResponse response) {
        if (response.status() == OK) {
            rules.onResponseServed(response.id(), checksum(response.body()));
        } else {
            rules.onErrorResponse(response.id());
        }
        if (response.status() == SERVICE_UNAVAILABLE) {
            rules.onRequestRejected(response.id());
        }
        boolean isError = response.status() != OK;
        if (isError && response.elapsedNanos() > deadlineNanos() + DEADLINE_GRACE_NANOS) {
            rules.onDeadlineMissed(response.id());
        }
    }

    private static long deadlineNanos() {
        return TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
    }

    private static long checksum(String body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }
}
