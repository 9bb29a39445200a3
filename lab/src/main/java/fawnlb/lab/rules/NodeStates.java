package fawnlb.lab.rules;

import java.util.HashMap;
import java.util.Map;

/** What the checker knows of the nodes' circumstances. Belongs to the checker, under its lock. */
final class NodeStates {
    /** The time of what has not happened. */
    static final long NEVER = Long.MAX_VALUE;
    /** A request that comes later after the start of a shutdown must be answered before the node is killed. */
    private static final long LATE_REQUEST_NANOS = 700_000_000;

    /** How many reasons there are to excuse a node. */
    private final Map<String, Integer> excuses = new HashMap<>();

    /** When nodes that have not restarted since began their shutdown. */
    private final Map<String, Long> shutdownStartedAt = new HashMap<>();

    private final Map<Notification, Long> drainNotifiedAt = new HashMap<>();

    /** What a node knows of a backend. */
    private record Notification(String node, String backend) {}

    void excuse(String node) {
        excuses.merge(node, 1, Integer::sum);
    }

    void stopExcusing(String node) {
        excuses.merge(node, -1, Integer::sum);
    }

    boolean isExcused(String node) {
        return excuses.getOrDefault(node, 0) > 0;
    }

    void startShutdown(long now, String node) {
        shutdownStartedAt.putIfAbsent(node, now);
    }

    /** A restarted node has begun no shutdown and knows nothing of earlier notifications. */
    void restart(String node) {
        shutdownStartedAt.remove(node);
        drainNotifiedAt.keySet().removeIf(key -> key.node().equals(node));
    }

    void notifyDrain(long now, String node, String backend) {
        drainNotifiedAt.putIfAbsent(new Notification(node, backend), now);
    }

    void notifyReady(String node, String backend) {
        drainNotifiedAt.remove(new Notification(node, backend));
    }

    /** Returns when the node was notified that the backend drains, or {@link #NEVER}. */
    long drainNotifiedAt(String node, String backend) {
        return drainNotifiedAt.getOrDefault(new Notification(node, backend), NEVER);
    }

    /** Whether a request came so late after the start of its node's shutdown that it must be answered. */
    boolean isLateForShutdown(TrackedRequest request) {
        Long startedAt = shutdownStartedAt.get(request.node);
        return startedAt != null && request.sentAt > startedAt + LATE_REQUEST_NANOS;
    }
}
