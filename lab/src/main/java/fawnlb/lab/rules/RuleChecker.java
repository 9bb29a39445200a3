package fawnlb.lab.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Checks what crossed the sockets against the {@link Rule}s. Clients, backends and the discovery service report what
 * they have sent and received; nodes report nothing. Times are nanoseconds on one clock. Instances are thread-safe.
 */
public final class RuleChecker {
    /**
     * The end of one attempt and the start of the next travel on two connections. The backends may read them in the
     * opposite order within this time.
     */
    private static final long EVENT_ORDER_TOLERANCE_NANOS = 50_000_000;
    /** Time in which a node has to notice that a client has disconnected. */
    private static final long DISCONNECT_REACTION_NANOS = 100_000_000;
    /** A forwarded deadline is in whole milliseconds and measured later than the client's: it may exceed it so far. */
    private static final long DEADLINE_TOLERANCE_NANOS = 150_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final int maxAttempts;
    private final long drainGraceNanos;
    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final NodeStates nodes = new NodeStates();
    private final Violations violations = new Violations();
    private final ProgressRules progressRules = new ProgressRules(violations);

    /**
     * Creates a checker without requests.
     *
     * @param maxAttempts attempts that a request may have
     * @param drainGraceNanos time from the notification of a drain in which attempts may still start at the backend
     */
    public RuleChecker(int maxAttempts, long drainGraceNanos) {
        this.maxAttempts = maxAttempts;
        this.drainGraceNanos = drainGraceNanos;
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /** A client has written the last byte of a request to this node. */
    public synchronized void onRequestSent(long now, String requestId, String node) {
        TrackedRequest request = new TrackedRequest(node, now);
        request.waived = nodes.isExcused(node);
        requests.put(requestId, request);
    }

    /** A client that does not read its response has written a request to this node, and nothing is owed to it. */
    public synchronized void onUnreadRequestSent(String requestId, String node) {
        onRequestSent(0, requestId, node);
        requests.get(requestId).waived = true;
    }

    /** Sets by when the client wants its response to begin. */
    public synchronized void setDeadline(String requestId, long deadlineAt) {
        requests.get(requestId).deadlineAt = deadlineAt;
    }

    /** Marks a request of a class that must not run twice. */
    public synchronized void markNonIdempotent(String requestId) {
        requests.get(requestId).nonIdempotent = true;
    }

    /** A client has read a complete response of a backend; the checksum covers its events. */
    public synchronized void onResponseServed(String requestId, long checksum) {
        TrackedRequest request = requests.get(requestId);
        countResponse(requestId, request);
        if (!request.completedChecksums.contains(checksum)) {
            violations.add(Rule.RESPONSE_MATCHES_BACKEND, requestId + " was served what no backend had generated");
        }
    }

    /** A client has read a complete error response. */
    public synchronized void onErrorResponse(String requestId) {
        countResponse(requestId, requests.get(requestId));
    }

    private void countResponse(String requestId, TrackedRequest request) {
        if (++request.responses > 1) {
            violations.add(Rule.EXACTLY_ONE_RESPONSE, requestId + " was answered " + request.responses + " times");
        }
    }

    /** The error response was a rejection, after which a client may repeat any request. */
    public synchronized void onRequestRejected(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (request.nonIdempotent && request.executed) {
            violations.add(
                    Rule.NON_IDEMPOTENT_RUNS_ONCE,
                    requestId + " was rejected by " + request.node + " after it had run");
        }
    }

    /** A client has closed its connection before its response had begun. */
    public synchronized void onClientDisconnected(long now, String requestId) {
        requests.get(requestId).disconnectedAt = now;
        requests.get(requestId).waived = true;
    }

    /** A client has waited for well over its deadline. */
    public synchronized void onDeadlineMissed(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (!request.waived) {
            violations.add(
                    Rule.RESPONSE_BY_DEADLINE, requestId + " had no answer at its deadline from " + request.node);
        }
    }

    /** A client's connection ended without a response, though the client had not disconnected. */
    public synchronized void onConnectionLost(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (!request.waived) {
            violations.add(Rule.EXACTLY_ONE_RESPONSE, requestId + " was read by " + request.node + " and not answered");
        }
    }

    /** A response that had begun has ended early; that is allowed unless its node has cut it at its own shutdown. */
    public synchronized void onStreamBroken(long now, String requestId) {
        TrackedRequest request = requests.get(requestId);
        progressRules.onStreamBroken(now, requestId, request);
        if (!request.waived && nodes.isLateForShutdown(request)) {
            violations.add(
                    Rule.EXACTLY_ONE_RESPONSE,
                    requestId + " was taken by " + request.node + " during its shutdown, and cut off");
        }
    }

    /**
     * A reused connection was closed after the request was written to it. That is allowed if the node had not read the
     * request, so that no backend has seen it.
     */
    public synchronized void onIdleConnectionClosed(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (request != null && request.attempts > 0 && !request.waived) {
            violations.add(
                    Rule.EXACTLY_ONE_RESPONSE,
                    requestId + " was forwarded by " + request.node + ", which then closed its client's connection");
        }
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    /**
     * Begins a time in which the node's connections may break for external reasons. The node owes nothing to requests
     * that it has or receives in that time.
     */
    public synchronized void excuseNode(String node) {
        nodes.excuse(node);
        waiveRequestsOf(node);
    }

    /** Ends that time; requests received in it stay waived. */
    public synchronized void stopExcusingNode(String node) {
        nodes.stopExcusing(node);
        waiveRequestsOf(node);
    }

    /** A node has got the signal to shut down. */
    public synchronized void onShutdownStarted(long now, String node) {
        nodes.startShutdown(now, node);
    }

    /**
     * A node is about to be killed because its shutdown has taken its time. It owes nothing to the requests that it had
     * before, and an answer to those that came late.
     */
    public synchronized void onKilledAtShutdown(String node) {
        requestsOf(node).filter(request -> !nodes.isLateForShutdown(request)).forEach(request -> request.waived = true);
    }

    /** A node was killed: it owes nothing to its requests and knows nothing of earlier notifications. */
    public synchronized void onNodeKilled(String node) {
        waiveRequestsOf(node);
        onNodeRestarted(node);
    }

    /** A node has restarted and knows nothing of earlier notifications. */
    public synchronized void onNodeRestarted(String node) {
        nodes.restart(node);
    }

    private void waiveRequestsOf(String node) {
        requestsOf(node).forEach(request -> request.waived = true);
    }

    private Stream<TrackedRequest> requestsOf(String node) {
        return requests.values().stream().filter(request -> request.node.equals(node));
    }

    // ---- Discovery ------------------------------------------------------------------------------------

    /** A node was notified that a backend drains or is gone. */
    public synchronized void onDrainNotified(long now, String node, String backend) {
        nodes.notifyDrain(now, node, backend);
    }

    /** A node was notified that a backend is ready. */
    public synchronized void onReadyNotified(String node, String backend) {
        nodes.notifyReady(node, backend);
    }

    // ---- Backends -------------------------------------------------------------------------------------

    /** A backend has read an attempt; the supplier tells whether the attempt's connection is still open. */
    public synchronized void onAttemptReceived(
            long now, String requestId, String backend, BooleanSupplier connectionOpen) {
        TrackedRequest request = requests.get(requestId);
        if (request == null) {
            violations.add(
                    Rule.RESPONSE_MATCHES_BACKEND, "a backend received " + requestId + ", which no client had sent");
            return;
        }
        checkAttempt(now, requestId, request, backend);
        checkDrain(now, requestId, request, backend);
        if (request.connectionOpen != null && request.connectionOpen.getAsBoolean()) {
            request.overlapStartedAt = now;
        }
        request.backend = backend;
        request.connectionOpen = connectionOpen;
    }

    private void checkAttempt(long now, String requestId, TrackedRequest request, String backend) {
        if (now - DISCONNECT_REACTION_NANOS - EVENT_ORDER_TOLERANCE_NANOS > request.disconnectedAt) {
            violations.add(
                    Rule.NO_ATTEMPT_AFTER_DISCONNECT,
                    requestId + " was sent " + millis(now - request.disconnectedAt)
                            + " ms after its client had disconnected");
        }
        if (request.nonIdempotent && request.executed) {
            violations.add(
                    Rule.NON_IDEMPOTENT_RUNS_ONCE,
                    requestId + " was sent to " + backend + " after it had run at " + request.backend);
        }
        if (++request.attempts > maxAttempts) {
            violations.add(Rule.ATTEMPT_LIMIT, requestId + " had " + request.attempts + " attempts");
        }
    }

    private void checkDrain(long now, String requestId, TrackedRequest request, String backend) {
        long notifiedAt = nodes.drainNotifiedAt(request.node, backend);
        if (notifiedAt != NodeStates.NEVER && now > notifiedAt + drainGraceNanos + EVENT_ORDER_TOLERANCE_NANOS) {
            violations.add(
                    Rule.NO_ATTEMPT_TO_DRAINING_BACKEND,
                    requestId + " went to " + backend + " " + millis(now - notifiedAt)
                            + " ms after the node was notified of its drain");
        }
    }

    /** An attempt carried this time as what its client has left. */
    public synchronized void onDeadlineForwarded(long now, String requestId, long timeoutNanos) {
        TrackedRequest request = requests.get(requestId);
        if (request != null
                && request.deadlineAt != Long.MAX_VALUE
                && now + timeoutNanos > request.deadlineAt + DEADLINE_TOLERANCE_NANOS) {
            violations.add(
                    Rule.FORWARDED_DEADLINE,
                    requestId + " was forwarded with " + millis(now + timeoutNanos - request.deadlineAt)
                            + " ms more than its client has");
        }
    }

    /** A backend has accepted the request, so that it may take effect from now on. */
    public synchronized void onExecutionStarted(String requestId) {
        findRequest(requestId).ifPresent(request -> request.executed = true);
    }

    /** From now on a backend sends bytes that never become an event. */
    public synchronized void onProgressEnded(long now, String requestId) {
        findRequest(requestId).ifPresent(request -> progressRules.onProgressEnded(now, request));
    }

    /** A backend begins to write an event slowly. */
    public synchronized void onSlowWritingStarted() {
        progressRules.onSlowWritingStarted();
    }

    /** A node has ended an attempt whose sound answer was being written slowly for this time. */
    public synchronized void onSlowAnswerCut(String requestId, long writingNanos) {
        findRequest(requestId).ifPresent(request -> progressRules.onSlowAnswerCut(requestId, request, writingNanos));
    }

    private Optional<TrackedRequest> findRequest(String requestId) {
        return Optional.ofNullable(requests.get(requestId));
    }

    /** A backend has written a complete response with this checksum. */
    public synchronized void onAttemptCompleted(long now, String requestId, String backend, long checksum) {
        endAttempt(now, requestId, backend);
        findRequest(requestId).ifPresent(request -> request.completedChecksums.add(checksum));
    }

    /** An attempt ended at its backend without a complete response. */
    public synchronized void onAttemptCancelled(long now, String requestId, String backend) {
        endAttempt(now, requestId, backend);
    }

    private void endAttempt(long now, String requestId, String backend) {
        TrackedRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        if (request.overlapStartedAt >= 0 && now - request.overlapStartedAt > EVENT_ORDER_TOLERANCE_NANOS) {
            violations.add(
                    Rule.NO_CONCURRENT_ATTEMPTS,
                    requestId + " was at two backends for " + millis(now - request.overlapStartedAt) + " ms");
        }
        request.overlapStartedAt = -1;
        if (backend.equals(request.backend)) {
            request.connectionOpen = null;
        }
    }

    /** A backend in its slow start has collapsed under the work that it received. */
    public synchronized void onBackendCollapsed(String backend) {
        violations.add(Rule.NO_OVERLOAD_IN_SLOW_START, backend + " collapsed");
    }

    private static long millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    // ---- Results --------------------------------------------------------------------------------------

    /** Returns the descriptions of all violations by rule; a rule that was kept is absent. */
    public synchronized Map<Rule, List<String>> violations() {
        return violations.byRule();
    }

    /** Returns how many responses went on without an event, and how many had one that was written slowly. */
    public synchronized String progressTotals() {
        return progressRules.totals();
    }

    /** Returns how often this rule was violated. */
    public synchronized int violationCount(Rule rule) {
        return violations.count(rule);
    }

    /** Returns how often all rules together were violated. */
    public synchronized int violationCount() {
        return violations.count();
    }
}
