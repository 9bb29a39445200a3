package fawnlb.eventloop;

import fawnlb.metrics.LogLine;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Reports when the event loop has stopped running tasks, and where its thread stands then. From outside, a process
 * whose event loop is blocked looks like one that has nothing to do. The watchdog only logs; it ends nothing.
 *
 * <p>One thread other than the event loop calls {@link #check} every {@link #CHECK_INTERVAL_NANOS}.
 */
public final class EventLoopWatchdog {
    /**
     * How long the event loop may run without a look at its tasks. A collection of the whole heap on a small part of a
     * core takes a tenth of it.
     */
    public static final long STALL_THRESHOLD_NANOS = 2_000_000_000L;
    /** How often {@link #check} is to be called. */
    public static final long CHECK_INTERVAL_NANOS = STALL_THRESHOLD_NANOS / 2;

    private static final int MAX_LOGGED_FRAMES = 12;

    private final Executor eventLoop;
    private final Supplier<StackTraceElement[]> stackTrace;
    private final Consumer<String> log;
    private volatile boolean responded = true;
    private long pingedAt;
    private long checkedAt;
    private boolean stallReported;

    /**
     * @param eventLoop runs tasks on the thread that is watched
     * @param stackTrace the present stack of that thread
     * @param log takes the lines
     */
    public EventLoopWatchdog(Executor eventLoop, Supplier<StackTraceElement[]> stackTrace, Consumer<String> log) {
        this.eventLoop = eventLoop;
        this.stackTrace = stackTrace;
        this.log = log;
    }

    /**
     * Hands the event loop a task, or looks whether it has run the last one.
     *
     * @param now nanoseconds on a clock that never goes back, the same in all calls
     */
    public void check(long now) {
        boolean processPaused = now - checkedAt > 2 * CHECK_INTERVAL_NANOS;
        checkedAt = now;
        if (responded) {
            reportEndOfStall(now);
            ping(now);
        } else if (processPaused) {
            // The whole process stood still, so the event loop has not had this time either.
            pingedAt = now;
        } else if (!stallReported && now - pingedAt >= STALL_THRESHOLD_NANOS) {
            stallReported = true;
            log.accept(LogLine.event("event loop stalled")
                    .elapsedNanos(now - pingedAt)
                    .with("stack", describeStack())
                    .toString());
        }
    }

    private void reportEndOfStall(long now) {
        if (stallReported) {
            log.accept(LogLine.event("event loop responds again")
                    .elapsedNanos(now - pingedAt)
                    .toString());
        }
        stallReported = false;
    }

    private void ping(long now) {
        pingedAt = now;
        responded = false;
        eventLoop.execute(() -> responded = true);
    }

    private String describeStack() {
        StringBuilder text = new StringBuilder();
        StackTraceElement[] frames = stackTrace.get();
        for (int i = 0; i < Math.min(MAX_LOGGED_FRAMES, frames.length); i++) {
            text.append(i == 0 ? "" : " < ").append(frames[i]);
        }
        return text.toString();
    }
}
