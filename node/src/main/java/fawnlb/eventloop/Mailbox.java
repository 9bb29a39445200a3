package fawnlb.eventloop;

import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
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
    private static final int MAX_MESSAGES_PER_TURN = 64;

    private final Executor executor;
    private final int capacity;
    private final ConcurrentLinkedQueue<Message> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private final AtomicBoolean turnScheduled = new AtomicBoolean();

    private record Message(Runnable task, Runnable onFailure) {}

    public Mailbox(Executor executor, int capacity) {
        this.executor = executor;
        this.capacity = capacity;
    }

    /**
     * Leaves a message that nobody would say again and that the actor must not miss, such as a change of membership or
     * a timer that is set once, whether the mailbox is full or not. For messages whose number something else bounds:
     * requests that are open, timers, members.
     */
    public void tellAlways(Runnable message) {
        queuedMessages.incrementAndGet();
        enqueue(message, () -> {});
    }

    /** Leaves a message; false, and nothing left, if the mailbox is full. */
    public boolean tell(Runnable message) {
        return tell(message, () -> {});
    }

    /**
     * The same for a message that somebody waits for the outcome of. Failed: runs in its place if the message throws,
     * which nobody expects; whoever waits must hear of it all the same.
     */
    public boolean tell(Runnable message, Runnable onFailure) {
        if (queuedMessages.incrementAndGet() > capacity) {
            queuedMessages.decrementAndGet();
            Metrics.increment(Metric.MESSAGES_DROPPED, "mailbox_full");
            return false;
        }
        enqueue(message, onFailure);
        return true;
    }

    private void enqueue(Runnable message, Runnable onFailure) {
        messages.add(new Message(message, onFailure));
        scheduleTurn();
    }

    /**
     * Leaves a message that somebody waits for the outcome of. Failed: runs in its place if it throws, and at once if
     * the mailbox is full, so that no one waits for a message that was never left.
     */
    public void tellOrFail(Runnable message, Runnable onFailure) {
        if (!tell(message, onFailure)) {
            UncaughtErrorHandler.run(onFailure, "message failed for want of room", () -> {});
        }
    }

    private void scheduleTurn() {
        if (turnScheduled.compareAndSet(false, true)) {
            executor.execute(this::runTurn);
        }
    }

    private void runTurn() {
        for (int i = 0; i < MAX_MESSAGES_PER_TURN; i++) {
            Message message = messages.poll();
            if (message == null) {
                break;
            }
            queuedMessages.decrementAndGet();
            // One bad message must not stop this actor, or the thread that all actors share.
            UncaughtErrorHandler.run(message.task(), "message failed", message.onFailure());
        }
        turnScheduled.set(false);
        if (!messages.isEmpty()) {
            scheduleTurn();
        }
    }
}
