package fawnlb.actor;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Timers of an XNIO I/O thread. The clock is set once by the wall clock and runs on the monotonic one. */
public final class IoTimers implements Timers {
    private static final long MS = 1_000_000;

    private final XnioExecutor executor;
    private final EventLoopLag lag;
    private final long base = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

    public IoTimers(XnioExecutor executor) {
        this.executor = executor;
        this.lag = new EventLoopLag(executor, this);
    }

    @Override
    public long now() {
        return base + System.nanoTime();
    }

    @Override
    public void handlingEvent() {
        lag.handling();
    }

    @Override
    public long eventAge() {
        return lag.nanos();
    }

    @Override
    public Timer after(long nanos, Runnable task) {
        // XNIO counts whole milliseconds and would round down: a task that comes early finds nothing due and asks
        // again.
        return executor.executeAfter(task, Math.max(0, nanos + MS - 1) / MS, TimeUnit.MILLISECONDS)::remove;
    }
}
