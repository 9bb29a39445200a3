package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import java.util.Arrays;

/**
 * Bounds how long a connection may have waited in the kernel's accept queue, with a request on it, before it is
 * accepted. The kernel does not say when a connection entered the queue. It entered after the queue was last found
 * empty; and as the queue is first in, first out and has a limited length, it entered after the connection that was
 * accepted as many accepts before as the queue has places.
 */
@EventLoopOnly
final class AcceptQueueDelay {
    private static final long NEVER = Long.MIN_VALUE;

    private final Timers timers;
    /** When the latest connections were accepted, as many as the queue can hold; the next place has the oldest. */
    private final long[] acceptedAtNanos;

    private int nextIndex;
    /** Since when the queue has not been found empty. */
    private long notEmptySinceNanos = NEVER;

    /** @param backlog the length of the accept queue that was asked for; the kernel's may be shorter */
    AcceptQueueDelay(int backlog, Timers timers) {
        this.timers = timers;
        // Linux takes one connection more than the backlog.
        this.acceptedAtNanos = new long[backlog + 1];
        Arrays.fill(acceptedAtNanos, NEVER);
    }

    /** Must be called when an accept has found the queue empty. */
    void onQueueEmpty() {
        notEmptySinceNanos = NEVER;
    }

    /** Must be called when connections may be left in the queue. */
    void onQueueNotEmptied() {
        if (notEmptySinceNanos == NEVER) {
            notEmptySinceNanos = timers.now() - timers.maxEventAgeNanos();
        }
    }

    /** Must be called for each accepted connection. Returns how long it may have waited, in nanoseconds. */
    long onAccepted() {
        long nowNanos = timers.now();
        long displacedNanos = acceptedAtNanos[nextIndex];
        acceptedAtNanos[nextIndex] = nowNanos;
        nextIndex = (nextIndex + 1) % acceptedAtNanos.length;
        if (notEmptySinceNanos == NEVER) {
            return timers.maxEventAgeNanos();
        }
        long enteredNanos = Math.max(notEmptySinceNanos, displacedNanos);
        return Math.max(timers.maxEventAgeNanos(), nowNanos - enteredNanos);
    }
}
