package fawnlb.client;

import fawnlb.eventloop.Timers;
import java.util.ArrayList;
import java.util.List;

/**
 * A clock that moves on by one nanosecond whenever it is read, and the task that was scheduled last. Tasks for the next
 * poll are kept apart: they are run by {@link #runTasksAfterPoll}.
 */
final class TickingTimers implements Timers {
    private static final long NEXT_POLL_NANOS = 1;

    private final List<Runnable> tasksAfterPoll = new ArrayList<>();
    private long nowNanos;
    private Runnable lastTask;

    @Override
    public long now() {
        return ++nowNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        if (delayNanos <= NEXT_POLL_NANOS) {
            tasksAfterPoll.add(task);
        } else {
            lastTask = task;
        }
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

    /** Runs the tasks that wait for a poll, as if there had been one. */
    void runTasksAfterPoll() {
        List<Runnable> tasks = List.copyOf(tasksAfterPoll);
        tasksAfterPoll.clear();
        tasks.forEach(Runnable::run);
    }
}
