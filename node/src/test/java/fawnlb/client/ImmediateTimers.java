package fawnlb.client;

import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.Timers;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.XnioIoThread;

/** Runs scheduled tasks as soon as the I/O thread can, on a clock that moves on by their delays instead. */
final class ImmediateTimers implements Timers {
    private static final long START_NANOS = 1000;

    private final Timers eventLoopTimers;
    private final AtomicLong nowNanos = new AtomicLong(START_NANOS);
    private final List<Long> delaysNanos = new CopyOnWriteArrayList<>();

    ImmediateTimers(XnioIoThread thread) {
        eventLoopTimers = new EventLoopTimers(thread);
    }

    @Override
    public long now() {
        return nowNanos.get();
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        delaysNanos.add(delayNanos);
        nowNanos.addAndGet(delayNanos);
        return eventLoopTimers.schedule(0, task);
    }

    /** Moves the clock on. */
    void advance(long nanos) {
        nowNanos.addAndGet(nanos);
    }

    /** The delays of all tasks that were scheduled, in order. */
    List<Long> delaysNanos() {
        return delaysNanos;
    }
}
