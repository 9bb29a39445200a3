package fawnlb.proxy;

import fawnlb.eventloop.Timers;
import java.util.ArrayList;
import java.util.List;

/** A clock that moves only when a test advances it, and runs the timers that are due by then. */
final class ManualTimers implements Timers {
    private record ScheduledTask(long dueAt, long order, Runnable task) {}

    private final List<ScheduledTask> pending = new ArrayList<>();
    private long now = 1_000_000_000;
    private long nextOrder;
    private long maxEventAgeNanos;

    @Override
    public long now() {
        return now;
    }

    @Override
    public long maxEventAgeNanos() {
        return maxEventAgeNanos;
    }

    /** Sets for how long the event being handled may have waited for the event loop. */
    void setMaxEventAgeNanos(long nanos) {
        maxEventAgeNanos = nanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(now + delayNanos, nextOrder++, task);
        pending.add(scheduled);
        return () -> pending.remove(scheduled);
    }

    void advance(long nanos) {
        now += nanos;
        for (ScheduledTask scheduled : List.copyOf(pending)) {
            if (scheduled.dueAt() <= now && pending.remove(scheduled)) {
                scheduled.task().run();
            }
        }
    }
}
