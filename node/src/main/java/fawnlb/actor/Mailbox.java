package fawnlb.actor;

import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The mailbox of one actor: its messages run one at a time, in the order in which they were told, on the given
 * executor. An actor's state is touched by its own messages alone.
 */
public final class Mailbox {
    /** So many messages run in one go; then other actors have their turn. */
    private static final int TURN = 64;

    private final Executor executor;
    private final int bound;
    private final ConcurrentLinkedQueue<Message> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicBoolean scheduled = new AtomicBoolean();

    private record Message(Runnable run, Runnable failed) {}

    public Mailbox(Executor executor, int bound) {
        this.executor = executor;
        this.bound = bound;
    }

    /**
     * Leaves a message that nobody would say again and that the actor must not miss, such as a change of membership or
     * a timer that is set once, whether the mailbox is full or not. For messages whose number something else bounds:
     * requests that are open, timers, members.
     */
    public void tellAlways(Runnable message) {
        size.incrementAndGet();
        add(message, () -> {});
    }

    /** Leaves a message; false, and nothing left, if the mailbox is full. */
    public boolean tell(Runnable message) {
        return tell(message, () -> {});
    }

    /**
     * The same for a message that somebody waits for the outcome of. Failed: runs in its place if the message throws,
     * which nobody expects; whoever waits must hear of it all the same.
     */
    public boolean tell(Runnable message, Runnable failed) {
        if (size.incrementAndGet() > bound) {
            size.decrementAndGet();
            Metrics.count(Metric.MESSAGES_DROPPED, "mailbox_full");
            return false;
        }
        add(message, failed);
        return true;
    }

    private void add(Runnable message, Runnable failed) {
        messages.add(new Message(message, failed));
        schedule();
    }

    /**
     * Leaves a message that somebody waits for the outcome of. Failed: runs in its place if it throws, and at once if
     * the mailbox is full, so that no one waits for a message that was never left.
     */
    public void tellOrFail(Runnable message, Runnable failed) {
        if (!tell(message, failed)) {
            Guard.run(failed, "message failed for want of room", () -> {});
        }
    }

    private void schedule() {
        if (scheduled.compareAndSet(false, true)) {
            executor.execute(this::turn);
        }
    }

    private void turn() {
        for (int i = 0; i < TURN; i++) {
            Message message = messages.poll();
            if (message == null) {
                break;
            }
            size.decrementAndGet();
            // One bad message must not stop this actor, or the thread that all actors share.
            Guard.run(message.run(), "message failed", message.failed());
        }
        scheduled.set(false);
        if (!messages.isEmpty()) {
            schedule();
        }
    }
}
