package fawnlb.eventloop;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that a test moves, with the tasks that are due on it. All of it belongs to one thread at a time. */
public final class ManualTimers implements Timers {
    private record ScheduledTask(long dueAt, long order, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::order));
    private long now;
    private long nextOrder;
    private long maxEventAgeNanos;

    /** Creates timers that start at this time, in nanoseconds. */
    public ManualTimers(long now) {
        this.now = now;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long maxEventAgeNanos() {
        return maxEventAgeNanos;
    }

    /** Sets for how long the event being handled may have waited for the event loop. */
    public void setMaxEventAgeNanos(long nanos) {
        maxEventAgeNanos = nanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        ScheduledTask entry = new ScheduledTask(now + Math.max(0, delayNanos), nextOrder++, task);
        scheduled.add(entry);
        return () -> scheduled.remove(entry);
    }

    /** Moves the clock on by so much, and runs each task at the time at which it is due. */
    public void advance(long nanos) {
        advanceTo(now + nanos);
    }

    /** Moves the clock on to this time, and runs each task at the time at which it is due. */
    public void advanceTo(long end) {
        while (!scheduled.isEmpty() && scheduled.peek().dueAt() <= end) {
            ScheduledTask next = scheduled.poll();
            now = next.dueAt();
            next.task().run();
        }
        now = end;
    }
}
