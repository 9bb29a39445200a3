package fawnlb.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Holds what crossed the sockets against the rules: it hears only what clients, boxes and the roster have sent and
 * received, and nothing from a node. Times are nanoseconds on one clock.
 */
public final class RuleChecker {
    /** A connection's end and the next attempt travel on two connections: the end may be read a little later. */
    private static final long EVENT_ORDER_TOLERANCE_NANOS = 50_000_000;
    /** An attempt that begins so long after its client has closed breaks a rule. */
    private static final long DISCONNECT_REACTION_NANOS = 100_000_000;
    /** What a server is told of the time that is left may be so much more than it is. */
    private static final long DEADLINE_TOLERANCE_NANOS = 150_000_000;
    /** Figures of the rules: attempts of a request, and how long after a drain was told work may still come. */
    private final int maxAttempts;

    private final long drainGraceNanos;

    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final Map<String, Long> drainNotifiedAt = new HashMap<>();
    private final Set<String> excusedNodes = new HashSet<>();
    private final Map<Rule, List<String>> violations = new TreeMap<>();

    /** The rules, by the names under which they are reported. */
    public enum Rule {
        EXACTLY_ONE_RESPONSE,
        NO_CONCURRENT_ATTEMPTS,
        ATTEMPT_LIMIT,
        NO_ATTEMPT_TO_DRAINING_BACKEND,
        NO_OVERLOAD_IN_SLOW_START,
        RESPONSE_MATCHES_BACKEND,
        RESPONSE_BY_DEADLINE,
        NO_ATTEMPT_AFTER_DISCONNECT,
        FORWARDED_DEADLINE,
        NON_IDEMPOTENT_RUNS_ONCE
    }

    private static final class TrackedRequest {
        final String node;
        long deadlineAt = Long.MAX_VALUE;
        long disconnectedAt = Long.MAX_VALUE;
        /** It may run once alone, and has been taken by a box. */
        boolean nonIdempotent;

        boolean executed;
        /** Its node was killed, or the client has left: nothing more is owed. */
        boolean waived;

        int responses;
        int attempts;
        String backend;
        BooleanSupplier connectionOpen;
        long overlapStartedAt = -1;
        final List<Long> completedChecksums = new ArrayList<>();

        TrackedRequest(String node) {
            this.node = node;
        }
    }

    public RuleChecker(int maxAttempts, long drainGraceNanos) {
        this.maxAttempts = maxAttempts;
        this.drainGraceNanos = drainGraceNanos;
    }

    /** A client has written the last byte of a request to this node. */
    public synchronized void onRequestSent(String requestId, String node) {
        TrackedRequest request = new TrackedRequest(node);
        request.waived = excusedNodes.contains(node);
        requests.put(requestId, request);
    }

    /** By when the client wants its answer to begin. */
    public synchronized void setDeadline(String requestId, long deadlineAt) {
        requests.get(requestId).deadlineAt = deadlineAt;
    }

    /** The request's class may not be run more than once. */
    public synchronized void markNonIdempotent(String requestId) {
        requests.get(requestId).nonIdempotent = true;
    }

    /** A box has taken the request: its effect may be there from now on. */
    public synchronized void onExecutionStarted(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (request != null) {
            request.executed = true;
        }
    }

    /** A client was told that trying again is harmless. */
    public synchronized void onRequestRejected(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (request.nonIdempotent && request.executed) {
            recordViolation(
                    Rule.NON_IDEMPOTENT_RUNS_ONCE, requestId + " was refused by " + request.node + " after it had run");
        }
    }

    /** A client has closed its connection before its answer had begun. */
    public synchronized void onClientDisconnected(long now, String requestId) {
        requests.get(requestId).disconnectedAt = now;
        requests.get(requestId).waived = true;
    }

    /** A client has waited for well over its deadline. */
    public synchronized void onDeadlineMissed(String requestId) {
        if (!requests.get(requestId).waived) {
            recordViolation(
                    Rule.RESPONSE_BY_DEADLINE,
                    requestId + " had no answer at its deadline from " + requests.get(requestId).node);
        }
    }

    /**
     * While it is on, the node's connections may break for a reason outside of it, and nothing that it takes is owed.
     */
    public synchronized void setNodeExcused(String node, boolean excused) {
        if (excused) {
            excusedNodes.add(node);
        } else {
            excusedNodes.remove(node);
        }
        waiveRequestsOf(node);
    }

    private void waiveRequestsOf(String node) {
        requests.values().stream()
                .filter(request -> request.node.equals(node))
                .forEach(request -> request.waived = true);
    }

    /** A node was killed outright: what it had taken goes back to its clients. */
    public synchronized void onNodeKilled(String node) {
        waiveRequestsOf(node);
        onNodeRestarted(node);
    }

    /** A client has read a whole answer, or a refusal. Sum: of the events of one that was served, else 0. */
    public synchronized void onResponseCompleted(String requestId, boolean served, long checksum) {
        TrackedRequest request = requests.get(requestId);
        if (++request.responses > 1) {
            recordViolation(Rule.EXACTLY_ONE_RESPONSE, requestId + " was answered " + request.responses + " times");
        }
        if (served && !request.completedChecksums.contains(checksum)) {
            recordViolation(Rule.RESPONSE_MATCHES_BACKEND, requestId + " was served what no box had made");
        }
    }

    /** A client's connection ended with no answer, though it had not left. */
    public synchronized void onConnectionLost(String requestId) {
        if (!requests.get(requestId).waived) {
            recordViolation(
                    Rule.EXACTLY_ONE_RESPONSE,
                    requestId + " was taken by " + requests.get(requestId).node + " and not answered");
        }
    }

    /**
     * A kept connection closed with this request on it: allowed where the node had not read it, so that no box has seen
     * it.
     */
    public synchronized void onIdleConnectionClosed(String requestId) {
        TrackedRequest request = requests.get(requestId);
        if (request != null && request.attempts > 0 && !request.waived) {
            recordViolation(
                    Rule.EXACTLY_ONE_RESPONSE,
                    requestId + " was sent on by " + request.node + ", which then closed its client's connection");
        }
    }

    /** A box has read an attempt; {@code connectionOpen}: whether its connection still is. */
    public synchronized void onAttemptReceived(
            long now, String requestId, String backend, BooleanSupplier connectionOpen) {
        TrackedRequest request = requests.get(requestId);
        if (request == null) {
            recordViolation(
                    Rule.RESPONSE_MATCHES_BACKEND, "a box was asked " + requestId + ", which no client had sent");
            return;
        }
        if (now - DISCONNECT_REACTION_NANOS - EVENT_ORDER_TOLERANCE_NANOS > request.disconnectedAt) {
            recordViolation(
                    Rule.NO_ATTEMPT_AFTER_DISCONNECT,
                    requestId + " was sent " + (now - request.disconnectedAt) / 1_000_000
                            + " ms after its client had left");
        }
        if (request.nonIdempotent && request.executed) {
            recordViolation(
                    Rule.NON_IDEMPOTENT_RUNS_ONCE,
                    requestId + " was sent to " + backend + " after it had run at " + request.backend);
        }
        if (++request.attempts > maxAttempts) {
            recordViolation(Rule.ATTEMPT_LIMIT, requestId + " was tried " + request.attempts + " times");
        }
        Long notifiedAt = drainNotifiedAt.get(request.node + ' ' + backend);
        if (notifiedAt != null && now > notifiedAt + drainGraceNanos + EVENT_ORDER_TOLERANCE_NANOS) {
            recordViolation(
                    Rule.NO_ATTEMPT_TO_DRAINING_BACKEND,
                    requestId + " went to " + backend + " " + (now - notifiedAt) / 1_000_000 + " ms after it was told");
        }
        if (request.connectionOpen != null && request.connectionOpen.getAsBoolean()) {
            request.overlapStartedAt = now;
        }
        request.backend = backend;
        request.connectionOpen = connectionOpen;
    }

    /** A box was told that its answer may take so long to begin. */
    public synchronized void told(long now, String requestId, long timeoutNanos) {
        TrackedRequest request = requests.get(requestId);
        if (request != null
                && request.deadlineAt != Long.MAX_VALUE
                && now + timeoutNanos > request.deadlineAt + DEADLINE_TOLERANCE_NANOS) {
            recordViolation(
                    Rule.FORWARDED_DEADLINE,
                    requestId + " was told " + (now + timeoutNanos - request.deadlineAt) / 1_000_000
                            + " ms more than its client has");
        }
    }

    /** An attempt is over at its box. Whole: all of it was written, with this sum. */
    public synchronized void onAttemptEnded(
            long now, String requestId, String backend, boolean complete, long checksum) {
        TrackedRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        if (request.overlapStartedAt >= 0 && now - request.overlapStartedAt > EVENT_ORDER_TOLERANCE_NANOS) {
            recordViolation(
                    Rule.NO_CONCURRENT_ATTEMPTS,
                    requestId + " was at two boxes for " + (now - request.overlapStartedAt) / 1_000_000 + " ms");
        }
        request.overlapStartedAt = -1;
        if (backend.equals(request.backend)) {
            request.connectionOpen = null;
        }
        if (complete) {
            request.completedChecksums.add(checksum);
        }
    }

    /** A node was told that a box drains or is gone, or is listed again. */
    public synchronized void told(long now, String node, String backend, boolean leaving) {
        if (leaving) {
            drainNotifiedAt.putIfAbsent(node + ' ' + backend, now);
        } else {
            drainNotifiedAt.remove(node + ' ' + backend);
        }
    }

    /** A node has started anew: it knows nothing of what was told before. */
    public synchronized void onNodeRestarted(String node) {
        drainNotifiedAt.keySet().removeIf(key -> key.startsWith(node + ' '));
    }

    /** A cold box was pushed over. */
    public synchronized void onBackendCollapsed(long now, String backend) {
        recordViolation(Rule.NO_OVERLOAD_IN_SLOW_START, backend + " fell over");
    }

    private void recordViolation(Rule rule, String description) {
        violations.computeIfAbsent(rule, key -> new ArrayList<>()).add(description);
    }

    /** How often each rule was broken, with the first case of each. */
    public synchronized Map<Rule, List<String>> violations() {
        return new TreeMap<>(violations);
    }

    public synchronized int violationCount(Rule rule) {
        return violations.getOrDefault(rule, List.of()).size();
    }
}
