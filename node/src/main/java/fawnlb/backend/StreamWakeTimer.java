package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.stream.ResponseStream;
import fawnlb.stream.StreamState;
import java.util.function.Consumer;

/**
 * Wakes a response stream when it asks to be woken. One timer serves a stream: it is not moved with every chunk, but
 * asks the stream when it fires, and is set again for the time that the stream then names. Belongs to the backend's
 * actor.
 */
@EventLoopOnly
final class StreamWakeTimer {
    private final ResponseStream stream;
    private final Timers timers;
    private final Consumer<Runnable> actor;
    private Timers.Timer timer;
    private StreamState scheduledInState;

    /** Runs what the timer does as messages of the given actor. */
    StreamWakeTimer(ResponseStream stream, Timers timers, Consumer<Runnable> actor) {
        this.stream = stream;
        this.timers = timers;
        this.actor = actor;
    }

    /** Sets the timer, if there is none or the stream's state has changed since it was set. */
    void schedule() {
        if (timer != null && scheduledInState == stream.state()) {
            return;
        }
        cancel();
        long wakeAtNanos = stream.wakeAtNanos();
        if (wakeAtNanos != ResponseStream.NEVER) {
            scheduledInState = stream.state();
            timer = timers.schedule(wakeAtNanos - timers.now(), () -> actor.accept(this::wake));
        }
    }

    private void wake() {
        timer = null;
        stream.wake(timers.now());
        schedule();
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
