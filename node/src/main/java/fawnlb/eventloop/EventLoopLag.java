package fawnlb.eventloop;

import java.util.concurrent.Executor;

/**
 * How long ago what is being read may have arrived. An event loop looks at its sockets once a round; while it works
 * through what it found, further bytes wait unseen, and on a small part of a core that can be long. Whoever has to keep
 * a deadline that began with the arrival asks here.
 *
 * <p>It belongs to the event loop's thread. Socket handlers call {@link #onSocketEvent} first.
 */
public final class EventLoopLag {
    /** A wait for events that is shorter than this counts as none: bytes may have arrived before it. */
    private static final long MIN_IDLE_WAIT_NANOS = 20_000_000;

    private final Executor eventLoop;
    private final Timers timers;
    private boolean inRound;
    private long roundStartedAt;
    private long earliestArrivalAt;
    private long roundEndedAt = Long.MIN_VALUE / 2;

    /** Creates one for the event loop that runs the tasks of this executor before it looks at its sockets again. */
    public EventLoopLag(Executor eventLoop, Timers timers) {
        this.eventLoop = eventLoop;
        this.timers = timers;
    }

    /** Called at the beginning of each socket handler. */
    public void onSocketEvent() {
        if (inRound) {
            return;
        }
        inRound = true;
        long now = timers.now();
        boolean wasIdle = now - roundEndedAt >= MIN_IDLE_WAIT_NANOS;
        // What this round finds has arrived after the last one had looked.
        earliestArrivalAt = wasIdle ? now : roundStartedAt;
        roundStartedAt = now;
        // Twice, so that it comes behind the tasks that the handlers of this round leave.
        eventLoop.execute(() -> eventLoop.execute(this::onRoundEnded));
    }

    private void onRoundEnded() {
        inRound = false;
        roundEndedAt = timers.now();
    }

    /** The longest time, in nanoseconds, for which bytes that are read now may have waited; zero outside a round. */
    public long maxQueuedNanos() {
        return inRound ? timers.now() - earliestArrivalAt : 0;
    }
}
