package fawnlb.lab.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** What the checker knows of one request. Belongs to the checker, under its lock. */
final class TrackedRequest {
    final String node;
    final long sentAt;
    long deadlineAt = Long.MAX_VALUE;
    long disconnectedAt = Long.MAX_VALUE;
    /** When its backend began to send bytes that never become an event. */
    long progressEndedAt = Long.MAX_VALUE;

    boolean nonIdempotent;
    /** A backend has accepted the request, so that it may have taken effect. */
    boolean executed;
    /** No response is owed any more: the node was killed or is excused, or the client has disconnected. */
    boolean waived;

    int responses;
    int attempts;
    String backend;
    BooleanSupplier connectionOpen;
    /** When an attempt began while the one before was still connected; negative if none did. */
    long overlapStartedAt = -1;

    final List<Long> completedChecksums = new ArrayList<>();

    TrackedRequest(String node, long sentAt) {
        this.node = node;
        this.sentAt = sentAt;
    }
}
