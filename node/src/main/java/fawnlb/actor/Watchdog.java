package fawnlb.actor;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sees that the thread which carries all actors still turns, and says where it stands when it does not: from outside, a
 * node whose thread waits for something looks like one that has nothing to do. It only tells; it ends nothing.
 *
 * <p>It is asked at a steady pace on a thread of its own. Times are nanoseconds of one clock.
 */
public final class Watchdog {
    /** A turn may take so long; a collection of the whole heap on a small part of a core takes a tenth of it. */
    public static final long TOO_LONG = 2_000_000_000L;
    /** How often it is to be asked. */
    public static final long PACE = TOO_LONG / 2;

    private static final int FRAMES = 12;

    private final Executor watched;
    private final Supplier<StackTraceElement[]> stack;
    private final Consumer<String> log;
    private volatile boolean turned = true;
    private long askedAt;
    private long lookedAt;
    private boolean said;

    /** Watched: has the thread run something. Stack: where the thread is at the moment. */
    public Watchdog(Executor watched, Supplier<StackTraceElement[]> stack, Consumer<String> log) {
        this.watched = watched;
        this.stack = stack;
        this.log = log;
    }

    /** Asks the thread for a sign, or looks for the one that was asked for. */
    public void look(long now) {
        boolean late = now - lookedAt > 2 * PACE;
        lookedAt = now;
        if (turned) {
            if (said) {
                log.accept("the I/O thread turns again, after about " + (now - askedAt) / 1_000_000 + " ms");
            }
            said = false;
            askedAt = now;
            turned = false;
            watched.execute(() -> turned = true);
        } else if (late) {
            // The whole process stood still: the thread has not had its time either.
            askedAt = now;
        } else if (!said && now - askedAt >= TOO_LONG) {
            said = true;
            StringBuilder text = new StringBuilder(
                    "the I/O thread has not turned for " + (now - askedAt) / 1_000_000 + " ms; it is at");
            StackTraceElement[] frames = stack.get();
            for (int i = 0; i < Math.min(FRAMES, frames.length); i++) {
                text.append(i == 0 ? " " : " < ").append(frames[i]);
            }
            log.accept(text.toString());
        }
    }
}
