package fawnlb.lab.scenario;

import fawnlb.admin.AdminClient;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.LoadClient;
import fawnlb.lab.net.Fault;
import fawnlb.lab.net.Ports;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Every fault at every byte offset of an answer, for each pair of dialects, streamed and whole, at the second front of
 * a real node. What comes back is held against what the same request gets of an answer that nothing was done to.
 */
public final class StreamFaults implements Scenario {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int BACKEND_COUNT = 16;
    private static final int OUTPUT_TOKENS = 9;
    private static final int CONCURRENT_REQUESTS = 150;
    private static final int CLEAN_REQUESTS_PER_FAULT = 2;
    private static final int MAX_REPEATS = 40;
    private static final int QUICK_SAMPLE_SIZE = 500;
    private static final int DEADLINE_MS = 4000;
    private static final Pattern BACKEND_ID = Pattern.compile("s-[0-9a-f]{8}");
    /** An end's name, as the node's answers put it. */
    private static final Pattern NAMED_REASON = Pattern.compile("\\([a-z]+(-[a-z]+)*\\)");

    private static final Pattern CHAT_END_EVENT = Pattern.compile("data: \\[DONE\\]\n\n");
    private static final Pattern MESSAGES_END_EVENT = Pattern.compile("event: message_stop\ndata: [^\n]*\n\n");
    private static final String STREAMS_FILE =
            "{\"silence\":{\"pause-ms\":250,\"most-ms\":400,\"first-event-least-ms\":250},"
                    + "\"readers\":{\"patience-ms\":2000},\"admin\":{\"listen\":\"127.0.0.1:%d\"}}";

    @Override
    public String name() {
        return "stream-faults";
    }

    @Override
    public String purpose() {
        return "every fault at every byte of an answer, each pair of dialects, streamed and whole: one clear final answer each";
    }

    /**
     * What is asked and what is done to the answer. {@code onEveryAttempt}: to each attempt, not to the first alone.
     */
    private static final class PlannedRequest {
        final Dialect clientDialect;
        final boolean streaming;
        final Fault fault;
        final boolean onEveryAttempt;
        final AtomicInteger attempts = new AtomicInteger();
        int repeats;

        PlannedRequest(Dialect client, boolean stream, Fault fault, boolean onEveryAttempt) {
            this.clientDialect = client;
            this.streaming = stream;
            this.fault = fault;
            this.onEveryAttempt = onEveryAttempt;
        }

        Fault nextAttemptFault() {
            return attempts.getAndIncrement() == 0 || onEveryAttempt ? fault : null;
        }
    }

    /** What became of all requests, and those that ended as none may. */
    private static final class FaultStatistics {
        final Map<String, Map<String, Integer>> outcomeCounts = new TreeMap<>();
        final List<String> violationExamples = new ArrayList<>();
        final Map<String, Integer> violationCounts = new TreeMap<>();
        int faultyRequests;
        int cleanRequests;

        void countOutcome(String row, String column) {
            outcomeCounts.computeIfAbsent(row, key -> new TreeMap<>()).merge(column, 1, Integer::sum);
        }

        void addViolation(String what, String how) {
            violationCounts.merge(what, 1, Integer::sum);
            if (violationCounts.get(what) <= 3) {
                violationExamples.add(what + ": " + how);
            }
        }
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        FaultStatistics statistics = new FaultStatistics();
        boolean allClosed = true;
        for (Dialect backend : Dialect.values()) {
            allClosed &= new FaultRound(backend, statistics, new Random(seed), quick).run();
        }
        System.out.printf("%-40s %s%n", "fault, and where it struck", "what the client got");
        statistics.outcomeCounts.forEach((row, columns) -> System.out.printf("%-40s %s%n", row, columns));
        statistics.violationExamples.forEach(System.out::println);
        ScenarioReport report = new ScenarioReport();
        report.addMeasurement("requests with a fault on their answers", Integer.toString(statistics.faultyRequests));
        report.addMeasurement("requests beside them with none", Integer.toString(statistics.cleanRequests));
        for (String what : List.of(
                "no final answer",
                "looks finished and is not",
                "an end without a name",
                "no clear answer",
                "a harmless fault that did harm",
                "nothing was done to it, and it is not whole")) {
            int count = statistics.violationCounts.getOrDefault(what, 0);
            report.addCheck(what, Integer.toString(count), "0", count == 0);
        }
        report.addCheck(
                "streams and bytes left at the nodes afterwards", allClosed ? "none" : "some", "none", allClosed);
        return report;
    }

    /** All that is asked of backends of one dialect. */
    private static final class FaultRound {
        private final Dialect backendDialect;
        private final FaultStatistics statistics;
        private final Random random;
        private final boolean quick;
        private final Map<String, PlannedRequest> requestsById = new ConcurrentHashMap<>();
        private final Map<String, String> expectedBodies = new HashMap<>();
        private final Map<String, int[]> responseLengths = new HashMap<>();
        private final Deque<PlannedRequest> queue = new ArrayDeque<>();
        private final CountDownLatch done = new CountDownLatch(1);
        private LoadClient client;
        private int inFlight;
        private long lastRequestId;

        FaultRound(Dialect backend, FaultStatistics statistics, Random random, boolean quick) {
            this.backendDialect = backend;
            this.statistics = statistics;
            this.random = random;
            this.quick = quick;
        }

        /** Whether the node is quiet in the end. */
        boolean run() throws Exception {
            boolean messages = backendDialect == Dialect.MESSAGES;
            EngineProfile profile = new EngineProfile(
                    messages ? "slow-rate" : "full-rate", 100, 100, 1_000_000, 2048, 2, 0.01, 1e6, 1, 0, 0);
            try (Testbed testbed = new Testbed()) {
                for (int i = 0; i < BACKEND_COUNT; i++) {
                    testbed.addBackend(profile, messages ? ApiFormat.MESSAGES : ApiFormat.CHAT)
                            .injectFaults(id -> requestsById.get(id).nextAttemptFault());
                }
                int front = Ports.findFreePort();
                InetSocketAddress admin = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
                testbed.start(
                        1,
                        0,
                        Map.of(
                                "broker",
                                "{\"listen\":\"127.0.0.1:" + front + "\",\"message-kinds\":["
                                        + (messages ? "\"slow-rate\"" : "")
                                        + "],\"teams\":[{\"name\":\"lab\",\"key\":\"k\",\"classes\":"
                                        + "[\"advisor-chat\"],\"models\":[\"advisor\"],\"deadline-ms\":" + DEADLINE_MS
                                        + ",\"budget\":{\"requests\":"
                                        + "1000000000,\"tokens\":1000000000,\"window-ms\":60000}}]}",
                                "streams",
                                String.format(STREAMS_FILE, admin.getPort())));
                client = new LoadClient(
                        testbed.clientWorker.getIoThread(),
                        testbed.clientTimers,
                        testbed.rules,
                        "n0",
                        new InetSocketAddress("127.0.0.1", front));
                recordCleanResponses(testbed);
                fillQueue();
                System.err.printf("%s targets: %d requests%n", backendDialect, queue.size());
                Testbed.runOn(testbed.clientWorker, () -> {
                    for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
                        sendNext();
                    }
                });
                done.await();
                testbed.requireNodesAlive();
                boolean allClosed = false;
                for (int i = 0; i < 100 && !allClosed; i++) {
                    TimeUnit.MILLISECONDS.sleep(100);
                    allClosed = AdminClient.fetchTargets(admin, false).contains("\n0 stream(s) open, 0 byte(s) held");
                }
                System.out.println("streams at the node, " + backendDialect + " targets:\n"
                        + AdminClient.fetchTargets(admin, false));
                return allClosed;
            }
        }

        /** What an answer is that nothing was done to, and how long it is. */
        private void recordCleanResponses(Testbed testbed) throws Exception {
            for (Dialect client : Dialect.values()) {
                for (boolean stream : new boolean[] {true, false}) {
                    LoadClient.ClientResponse[] received = new LoadClient.ClientResponse[1];
                    CountDownLatch arrived = new CountDownLatch(1);
                    PlannedRequest clean = new PlannedRequest(client, stream, null, false);
                    Testbed.runOn(
                            testbed.clientWorker,
                            () -> send(clean, response -> {
                                received[0] = response;
                                arrived.countDown();
                            }));
                    arrived.await();
                    if (received[0].status() != 200 || !received[0].complete()) {
                        throw new IllegalStateException("a clean answer failed: " + received[0]);
                    }
                    expectedBodies.put(client + " " + stream, withoutBackendId(received[0].body()));
                    responseLengths.put(client + " " + stream, lastResponseLengths(testbed.backends));
                }
            }
        }

        /** Head and whole length of the answer that was given last. */
        private static int[] lastResponseLengths(List<EngineServer> backends) {
            EngineServer last =
                    Collections.max(backends, (a, b) -> Long.compare(a.lastResponseAt(), b.lastResponseAt()));
            return new int[] {last.lastHeadBytes(), last.lastResponseBytes()};
        }

        private void fillQueue() {
            List<PlannedRequest> all = new ArrayList<>();
            responseLengths.forEach((key, length) -> {
                Dialect client = Dialect.valueOf(key.split(" ")[0]);
                boolean stream = Boolean.parseBoolean(key.split(" ")[1]);
                for (Fault.Kind kind : Fault.Kind.values()) {
                    for (int at = 0; at < (kind.isPositional() ? length[1] : 1); at++) {
                        all.add(new PlannedRequest(
                                client, stream, new Fault(kind, at, 50 * NANOS_PER_MILLI), random.nextBoolean()));
                    }
                }
            });
            Collections.shuffle(all, random);
            for (PlannedRequest request : quick ? all.subList(0, Math.min(QUICK_SAMPLE_SIZE, all.size())) : all) {
                queue.add(request);
                for (int i = 0; i < CLEAN_REQUESTS_PER_FAULT; i++) {
                    queue.add(new PlannedRequest(request.clientDialect, request.streaming, null, false));
                }
            }
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
                boolean untouched = request.attempts.get() == 0 && response.status() == 503;
                if (untouched && request.fault != null && request.repeats++ < MAX_REPEATS) {
                    // Refused unheard, which says nothing of its fault: it comes again later.
                    queue.add(request);
                } else {
                    evaluate(request, response);
                }
                sendNext();
            });
        }

        private void send(PlannedRequest request, Consumer<LoadClient.ClientResponse> callback) {
            String id = String.format("f-%s-%08x", backendDialect, ++lastRequestId);
            requestsById.put(id, request);
            String body = "{\"model\":\"advisor\",\"max_tokens\":" + OUTPUT_TOKENS
                    + (request.streaming ? ",\"stream\":true" : "")
                    + ",\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
            client.send(
                    new LoadClient.ClientRequest(
                            id, request.clientDialect.path(), "x-api-key: k\r\nX-Class: advisor-chat\r\n", body),
                    response -> {
                        requestsById.remove(id);
                        callback.accept(response);
                    });
        }

        private static String withoutBackendId(String body) {
            return BACKEND_ID.matcher(body).replaceAll("s-box");
        }

        private void evaluate(PlannedRequest request, LoadClient.ClientResponse response) {
            String key = request.clientDialect + " " + request.streaming;
            String outcome = classify(
                    request, response, withoutBackendId(response.body()).equals(expectedBodies.get(key)));
            if (request.fault == null) {
                statistics.cleanRequests++;
                boolean refused = outcome.startsWith("503");
                statistics.countOutcome("none", outcome);
                if (!outcome.equals("whole") && !refused) {
                    statistics.addViolation("nothing was done to it, and it is not whole", outcome + " " + response);
                }
                return;
            }
            statistics.faultyRequests++;
            int headBytes = responseLengths.get(key)[0];
            String location = !request.fault.kind().isPositional()
                    ? ""
                    : request.fault.offset() < headBytes ? ", head" : ", body";
            statistics.countOutcome(
                    request.fault.kind().name().toLowerCase(Locale.ROOT)
                            + location
                            + (request.streaming ? ", streamed" : ", whole")
                            + (request.onEveryAttempt ? ", always" : ", once"),
                    outcome);
            if (request.fault.kind().isHarmless() && !outcome.equals("whole") && !outcome.startsWith("503")) {
                statistics.addViolation(
                        "a harmless fault that did harm", request.fault + " " + outcome + " " + response);
            }
        }

        /** In a word what the client got; an answer that may not be is counted as wrong. */
        private String classify(PlannedRequest request, LoadClient.ClientResponse response, boolean bodyMatches) {
            String description = request.fault + " " + request.clientDialect + " client, " + backendDialect
                    + " target, " + (request.streaming ? "streamed" : "whole") + ": " + response;
            if (response.status() == 0) {
                statistics.addViolation("no final answer", description);
                return "nothing";
            }
            if (response.status() == 200 && response.complete()) {
                if (!bodyMatches) {
                    statistics.addViolation("looks finished and is not", description);
                }
                return "whole";
            }
            if (response.status() == 200) {
                // An event without the empty line behind it is none to its reader.
                Pattern last = request.clientDialect == Dialect.CHAT ? CHAT_END_EVENT : MESSAGES_END_EVENT;
                if (!request.streaming || last.matcher(response.body()).find() && !bodyMatches) {
                    statistics.addViolation("looks finished and is not", description);
                }
                boolean namesReason = response.body().contains("\"error\":{")
                        && NAMED_REASON.matcher(response.body()).find();
                return bodyMatches ? "all, cut behind it" : namesReason ? "cut, with its name" : "cut";
            }
            if (response.status() != 502 && response.status() != 503 && response.status() != 504
                    || !response.complete()) {
                statistics.addViolation("no clear answer", description);
            } else if (request.attempts.get() > 0
                    && !NAMED_REASON.matcher(response.body()).find()) {
                statistics.addViolation("an end without a name", description);
            }
            return Integer.toString(response.status());
        }
    }
}
