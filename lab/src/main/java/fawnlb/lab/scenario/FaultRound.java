package fawnlb.lab.scenario;

import fawnlb.admin.AdminClient;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.CompletedResponse;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ClientRequest;
import fawnlb.lab.load.ClientResponse;
import fawnlb.lab.load.LoadClient;
import fawnlb.lab.net.Fault;
import fawnlb.lab.net.Ports;
import fawnlb.lab.testbed.Testbed;
import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * The part of {@link StreamFaults} with backends of one API format. Requests are sent and evaluated on the thread of
 * the testbed's clients.
 */
final class FaultRound {
    private static final int BACKEND_COUNT = 16;
    private static final int OUTPUT_TOKENS = 9;
    private static final int CONCURRENT_REQUESTS = 150;
    private static final int MAX_REPEATS = 40;
    private static final int DEADLINE_MILLIS = 4000;
    private static final int CLOSE_POLLS = 100;
    private static final int CLOSE_POLL_MILLIS = 100;
    private static final Pattern BACKEND_ID = Pattern.compile("s-[0-9a-f]{8}");
    private static final String ALL_CLOSED = "\n0 stream(s) open, 0 byte(s) held";
    private static final String STREAMS_FILE =
            "{\"silence\":{\"pause-ms\":250,\"most-ms\":400,\"first-event-least-ms\":250},"
                    + "\"readers\":{\"patience-ms\":2000},\"admin\":{\"listen\":\"127.0.0.1:%d\"}}";
    private static final String BROKER_FILE =
            "{\"listen\":\"127.0.0.1:%d\",\"message-kinds\":[%s],\"teams\":[{\"name\":\"lab\",\"key\":\"k\",\"classes\":"
                    + "[\"advisor-chat\"],\"models\":[\"advisor\"],\"deadline-ms\":" + DEADLINE_MILLIS
                    + ",\"budget\":{\"requests\":1000000000,\"tokens\":1000000000,\"window-ms\":60000}}]}";

    private final Dialect backendDialect;
    private final FaultStatistics statistics;
    private final Random random;
    private final RunLength length;
    private final Map<String, PlannedRequest> requestsById = new ConcurrentHashMap<>();
    private final Map<ResponseForm, String> expectedBodies = new HashMap<>();
    private final Map<ResponseForm, CompletedResponse> cleanResponses = new HashMap<>();
    private final Deque<PlannedRequest> queue = new ArrayDeque<>();
    private final CountDownLatch done = new CountDownLatch(1);
    private LoadClient client;
    private int inFlight;
    private long lastRequestId;

    FaultRound(Dialect backendDialect, FaultStatistics statistics, Random random, RunLength length) {
        this.backendDialect = backendDialect;
        this.statistics = statistics;
        this.random = random;
        this.length = length;
    }

    /** Runs all requests and returns whether the node has closed all streams in the end. */
    boolean run() throws IOException, InterruptedException {
        try (Testbed testbed = new Testbed()) {
            addBackends(testbed);
            InetSocketAddress admin = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
            startNode(testbed, admin);
            recordCleanResponses(testbed);
            queue.addAll(FaultPlan.draw(cleanResponses, random, length));
            System.err.printf("%s backends: %d requests%n", backendDialect, queue.size());
            testbed.runOnClients(() -> {
                for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
                    sendNext();
                }
            });
            done.await();
            testbed.requireNodesAlive();
            boolean allClosed = awaitAllClosed(admin);
            System.out.println(
                    "streams at the node, " + backendDialect + " backends:\n" + AdminClient.fetchTargets(admin));
            return allClosed;
        }
    }

    private boolean isMessages() {
        return backendDialect == Dialect.MESSAGES;
    }

    private void addBackends(Testbed testbed) throws IOException {
        String profileName = isMessages() ? EngineProfile.SLOW_RATE : EngineProfile.FULL_RATE;
        EngineProfile profile = EngineProfile.fast(profileName, 100, 1_000_000, 2048);
        testbed.addBackends(BACKEND_COUNT, profile, isMessages() ? ApiFormat.MESSAGES : ApiFormat.CHAT);
        for (EngineServer backend : testbed.backends()) {
            backend.injectFaults(id -> requestsById.get(id).nextAttemptFault());
        }
    }

    private void startNode(Testbed testbed, InetSocketAddress admin) throws IOException, InterruptedException {
        InetSocketAddress front = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
        String messageProfiles = isMessages() ? '"' + EngineProfile.SLOW_RATE + '"' : "";
        Map<String, String> operatorFiles = Map.of(
                "broker", String.format(BROKER_FILE, front.getPort(), messageProfiles),
                "streams", String.format(STREAMS_FILE, admin.getPort()));
        testbed.startNodes(1, 0, operatorFiles);
        client = testbed.createClient(testbed.nodes().get(0), front);
    }

    /** Records, for each form, body and size of a response without a fault. */
    private void recordCleanResponses(Testbed testbed) throws IOException, InterruptedException {
        for (ResponseForm form : ResponseForm.ALL) {
            CompletableFuture<ClientResponse> received = new CompletableFuture<>();
            testbed.runOnClients(() -> send(PlannedRequest.clean(form), received::complete));
            ClientResponse response = received.join();
            if (response.status() != 200 || !response.complete()) {
                throw new IOException("a request without a fault failed: " + response);
            }
            expectedBodies.put(form, withoutBackendId(response.body()));
            cleanResponses.put(form, lastResponse(testbed.backends()));
        }
    }

    private static CompletedResponse lastResponse(List<EngineServer> backends) {
        return backends.stream()
                .map(EngineServer::lastResponse)
                .max(Comparator.comparingLong(CompletedResponse::completedAt))
                .orElseThrow();
    }

    private void sendNext() {
        PlannedRequest request = queue.poll();
        if (request == null) {
            if (inFlight == 0) {
                done.countDown();
            }
            return;
        }
        inFlight++;
        send(request, response -> {
            inFlight--;
            boolean rejectedUnattempted = !request.wasAttempted() && response.status() == 503;
            if (rejectedUnattempted && !request.isClean() && request.countRepeat() < MAX_REPEATS) {
                // The fault has not been injected yet: repeat the request later.
                queue.add(request);
            } else {
                evaluate(request, response);
            }
            sendNext();
        });
    }

    private void send(PlannedRequest request, Consumer<ClientResponse> callback) {
        String id = String.format("f-%s-%08x", backendDialect, ++lastRequestId);
        requestsById.put(id, request);
        String body = "{\"model\":\"advisor\",\"max_tokens\":" + OUTPUT_TOKENS
                + (request.form().streaming() ? ",\"stream\":true" : "")
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
        Map<String, String> headers = Map.of("x-api-key", "k", "X-Class", "advisor-chat");
        client.send(new ClientRequest(id, request.form().clientDialect().path(), headers, body), response -> {
            requestsById.remove(id);
            callback.accept(response);
        });
    }

    /** Bodies differ in the id of the backend alone. */
    private static String withoutBackendId(String body) {
        return BACKEND_ID.matcher(body).replaceAll("s-backend");
    }

    private void evaluate(PlannedRequest request, ClientResponse response) {
        boolean bodyMatches = withoutBackendId(response.body()).equals(expectedBodies.get(request.form()));
        ResponseOutcome outcome = ResponseOutcome.classify(request, response, bodyMatches);
        outcome.violation().ifPresent(violation -> statistics.addViolation(violation, describe(request, response)));
        if (request.isClean()) {
            statistics.countClean(outcome.label());
            if (!outcome.isCompleteOrRejected()) {
                statistics.addViolation(ResponseViolation.CLEAN_REQUEST_FAILED, outcome.label() + " " + response);
            }
            return;
        }
        statistics.countFaulty(describeFault(request), outcome.label());
        if (request.fault().kind().isHarmless() && !outcome.isCompleteOrRejected()) {
            statistics.addViolation(
                    ResponseViolation.HARMLESS_FAULT_DID_HARM,
                    request.fault() + " " + outcome.label() + " " + response);
        }
    }

    private String describe(PlannedRequest request, ClientResponse response) {
        return request.fault() + " " + request.form().clientDialect() + " client, " + backendDialect + " backend, "
                + request.form().title() + ": " + response;
    }

    /** Returns the row of the fault in the table of outcomes. */
    private String describeFault(PlannedRequest request) {
        Fault fault = request.fault();
        String name = fault.kind().name().toLowerCase(Locale.ROOT);
        String position = "";
        if (fault.kind().isPositional()) {
            int headBytes = cleanResponses.get(request.form()).headBytes();
            position = fault.offset() < headBytes ? ", head" : ", body";
        }
        return name + position + ", " + request.form().title() + ", "
                + request.repetition().title();
    }

    private static boolean awaitAllClosed(InetSocketAddress admin) throws IOException, InterruptedException {
        for (int i = 0; i < CLOSE_POLLS; i++) {
            TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_MILLIS);
            if (AdminClient.fetchTargets(admin).contains(ALL_CLOSED)) {
                return true;
            }
        }
        return false;
    }
}
