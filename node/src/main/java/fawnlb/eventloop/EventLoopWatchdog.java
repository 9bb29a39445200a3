package fawnlb.eventloop;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sees that the thread which carries all actors still turns, and says where it stands when it does not: from outside, a
 * node whose thread waits for something looks like one that has nothing to do. It only tells; it ends nothing.
 *
 * <p>It is asked at a steady pace on a thread of its own. Times are nanoseconds of one clock.
 */
public final class EventLoopWatchdog {
    /** A turn may take so long; a collection of the whole heap on a small part of a core takes a tenth of it. */
    public static final long STALL_THRESHOLD_NANOS = 2_000_000_000L;
    /** How often it is to be asked. */
    public static final long CHECK_INTERVAL_NANOS = STALL_THRESHOLD_NANOS / 2;

    private static final int MAX_LOGGED_FRAMES = 12;

    private final Executor eventLoop;
    private final Supplier<StackTraceElement[]> stackTrace;
    private final Consumer<String> log;
    private volatile boolean responded = true;
    private long pingedAt;
    private long checkedAt;
    private boolean stallReported;

    /** Watched: has the thread run something. Stack: where the thread is at the moment. */
    public EventLoopWatchdog(Executor eventLoop, Supplier<StackTraceElement[]> stackTrace, Consumer<String> log) {
        this.eventLoop = eventLoop;
        this.stackTrace = stackTrace;
        this.log = log;
    }

    /** Asks the thread for a sign, or looks for the one that was asked for. */
    public void check(long now) {
        boolean processPaused = now - checkedAt > 2 * CHECK_INTERVAL_NANOS;
        checkedAt = now;
        if (responded) {
            if (stallReported) {
                log.accept("the I/O thread turns again, after about " + (now - pingedAt) / 1_000_000 + " ms");
            }
            stallReported = false;
            pingedAt = now;
            responded = false;
            eventLoop.execute(() -> responded = true);
        } else if (processPaused) {
            // The whole process stood still: the thread has not had its time either.
            pingedAt = now;
        } else if (!stallReported && now - pingedAt >= STALL_THRESHOLD_NANOS) {
            stallReported = true;
            StringBuilder text = new StringBuilder(
                    "the I/O thread has not turned for " + (now - pingedAt) / 1_000_000 + " ms; it is at");
            StackTraceElement[] frames = stackTrace.get();
            for (int i = 0; i < Math.min(MAX_LOGGED_FRAMES, frames.length); i++) {
                text.append(i == 0 ? " " : " < ").append(frames[i]);
            }
            log.accept(text.toString());
        }
    }
}
