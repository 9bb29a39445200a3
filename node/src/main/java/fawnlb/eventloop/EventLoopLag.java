package fawnlb.eventloop;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * Measures for how long bytes may have waited for the event loop before it read them. The loop looks at its sockets
 * once a round; bytes that arrive while it works through what it found wait unseen for the next one, which can take
 * long on a small part of a core. A deadline that runs from a request's arrival has to count that wait.
 */
@EventLoopOnly
public final class EventLoopLag {
    /** A pause between two rounds that is shorter than this counts as none: bytes may have arrived before it. */
    private static final long MIN_IDLE_WAIT_NANOS = 20_000_000;

    private final Executor eventLoop;
    private final Timers timers;
    private boolean inRound;
    private long roundStartedAt;
    private long earliestArrivalAt;
    /** Half of the smallest value, so that the time since then does not overflow. */
    private long roundEndedAt = Long.MIN_VALUE / 2;

    /** @param eventLoop runs all tasks that were handed to it before the loop looks at its sockets again */
    public EventLoopLag(Executor eventLoop, Timers timers) {
        this.eventLoop = eventLoop;
        this.timers = timers;
    }

    /** Notes that a socket is handled. Each socket handler calls this first. */
    public void onSocketEvent() {
        if (inRound) {
            return;
        }
        inRound = true;
        long now = timers.now();
        boolean wasIdle = now - roundEndedAt >= MIN_IDLE_WAIT_NANOS;
        // What this round finds has arrived since the last round looked at its sockets.
        earliestArrivalAt = wasIdle ? now : roundStartedAt;
        roundStartedAt = now;
        // The second hand-over puts the end of the round behind the tasks that this round's handlers leave.
        executeUnlessTerminating(() -> executeUnlessTerminating(this::onRoundEnded));
    }

    private void executeUnlessTerminating(Runnable task) {
        try {
            eventLoop.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is terminating and runs no further round.
        }
    }

    private void onRoundEnded() {
        inRound = false;
        roundEndedAt = timers.now();
    }

    /** For how long, at the most, bytes that are read now may have waited, in nanoseconds; 0 outside a round. */
    public long maxQueuedNanos() {
        return inRound ? timers.now() - earliestArrivalAt : 0;
    }
}
