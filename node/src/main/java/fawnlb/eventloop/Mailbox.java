package fawnlb.eventloop;

import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The mailbox of one actor. Its messages run one at a time, in the order in which they were left, on the given
 * executor; only they touch the actor's state. Any thread may leave messages.
 */
@ThreadSafe
public final class Mailbox {
    /** How many messages run before other tasks of the executor get their turn. */
    private static final int MAX_MESSAGES_PER_TURN = 64;

    private static final Runnable NO_ACTION = () -> {};

    private final Executor executor;
    private final int capacity;
    private final ConcurrentLinkedQueue<Message> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private final AtomicBoolean turnScheduled = new AtomicBoolean();

    private record Message(Runnable task, Runnable onFailure) {}

    /** @param capacity how many messages may wait before {@link #tell(Runnable)} takes no more */
    public Mailbox(Executor executor, int capacity) {
        this.executor = executor;
        this.capacity = capacity;
    }

    /**
     * Leaves a message whether the mailbox is full or not. For messages that the actor must not miss and nobody would
     * repeat, such as an endpoint update or a timer, and whose number is bounded elsewhere: by the open requests,
     * timers or endpoints.
     */
    public void tellAlways(Runnable message) {
        queuedMessages.incrementAndGet();
        enqueue(message, NO_ACTION);
    }

    /** Leaves a message, or returns false if the mailbox is full. */
    public boolean tell(Runnable message) {
        return tell(message, NO_ACTION);
    }

    /**
     * Leaves a message, or returns false if the mailbox is full.
     *
     * @param onFailure runs after the message if that throws, so that a caller that waits for its outcome hears of it
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

    /**
     * Leaves a message whose outcome somebody waits for.
     *
     * @param onFailure runs after the message if that throws, and at once on the calling thread if the mailbox is full
     */
    public void tellOrFail(Runnable message, Runnable onFailure) {
        if (!tell(message, onFailure)) {
            UncaughtErrorHandler.run(onFailure, "message failed for want of room", NO_ACTION);
        }
    }

    private void enqueue(Runnable message, Runnable onFailure) {
        messages.add(new Message(message, onFailure));
        scheduleTurn();
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
            // A message that throws must stop neither this actor nor the thread that it shares with all others.
            UncaughtErrorHandler.run(message.task(), "message failed", message.onFailure());
        }
        turnScheduled.set(false);
        if (!messages.isEmpty()) {
            scheduleTurn();
        }
    }
}
