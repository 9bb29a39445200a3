package fawnlb.client;

import fawnlb.eventloop.Timers;

/** A clock that moves on by one nanosecond whenever it is read, and the task that was scheduled last. */
final class TickingTimers implements Timers {
    private long nowNanos;
    private Runnable lastTask;

    @Override
    public long now() {
        return ++nowNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        lastTask = task;
        return () -> {};
    }

    /** Moves the clock on, and runs no task. */
    void advance(long nanos) {
        nowNanos += nanos;
    }

    /** Runs the task that was scheduled last, whatever its delay. */
    void runLastTask() {
        lastTask.run();
    }
}
