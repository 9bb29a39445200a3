package fawnlb.eventloop;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Timers of an XNIO I/O thread. The clock is set once by the wall clock and runs on the monotonic one. */
public final class EventLoopTimers implements Timers {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final XnioExecutor executor;
    private final EventLoopLag lag;
    private final long wallClockOffsetNanos = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

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
        // XNIO counts whole milliseconds and would round down: a task that comes early finds nothing due and asks
        // again.
        return executor.executeAfter(
                task,
                Math.max(0, delayNanos + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND,
                TimeUnit.MILLISECONDS)::remove;
    }
}
