package fawnlb.eventloop;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * The clock and timers of an XNIO I/O thread. The clock is set by the wall clock once and then runs on the monotonic
 * one.
 */
public final class EventLoopTimers implements Timers {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final XnioExecutor executor;
    private final EventLoopLag lag;
    private final long wallClockOffsetNanos = System.currentTimeMillis() * NANOS_PER_MILLISECOND - System.nanoTime();

    /** Creates the timers of the thread that runs this executor's tasks. */
    public EventLoopTimers(XnioExecutor executor) {
        this.executor = executor;
        this.lag = new EventLoopLag(executor, this);
    }

    @Override
    public long now() {
        return wallClockOffsetNanos + System.nanoTime();
    }

    @Override
    public void onSocketEvent() {
        lag.onSocketEvent();
    }

    @Override
    public long maxEventAgeNanos() {
        return lag.maxQueuedNanos();
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        // XNIO counts whole milliseconds. Rounded down, a task would come too early and find nothing due.
        long delayMillis = Math.max(0, delayNanos + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND;
        return executor.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS)::remove;
    }
}
