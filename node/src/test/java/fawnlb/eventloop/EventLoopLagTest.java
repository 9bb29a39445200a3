package fawnlb.eventloop;

import static org.junit.Assert.assertEquals;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import org.junit.Test;

public class EventLoopLagTest {
    private static final long MS = 1_000_000;

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private long now = 1000 * MS;
    private final Timers timers = new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer schedule(long delayNanos, Runnable task) {
            throw new UnsupportedOperationException();
        }
    };
    private final EventLoopLag lag = new EventLoopLag(tasks::add, timers);

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    private void runRound(long durationNanos) {
        lag.onSocketEvent();
        now += durationNanos;
        runTasks();
    }

    @Test
    public void bytesReadAfterLongRoundMayHaveBeenQueuedForAllOfIt() {
        runRound(300 * MS);
        lag.onSocketEvent();
        now += 5 * MS;
        assertEquals(305 * MS, lag.maxQueuedNanos());
    }

    @Test
    public void tasksLeftByHandlersBelongToTheirRound() {
        lag.onSocketEvent();
        tasks.add(() -> now += 300 * MS);
        runTasks();
        lag.onSocketEvent();
        assertEquals(300 * MS, lag.maxQueuedNanos());
    }

    @Test
    public void bytesThatEndAnIdleWaitWereNotQueued() {
        runRound(300 * MS);
        now += 50 * MS;
        lag.onSocketEvent();
        assertEquals(0, lag.maxQueuedNanos());
    }

    @Test
    public void onlyThePreviousRoundAddsToTheLag() {
        runRound(300 * MS);
        runRound(2 * MS);
        lag.onSocketEvent();
        assertEquals(2 * MS, lag.maxQueuedNanos());
    }

    @Test
    public void lagIsZeroOutsideRounds() {
        runRound(300 * MS);
        assertEquals(0, lag.maxQueuedNanos());
    }

    /** Guards against a stack trace for each event loop that ends while a round is open. */
    @Test
    public void terminatingLoopTakesNoTasks() {
        EventLoopLag terminating = new EventLoopLag(
                task -> {
                    throw new RejectedExecutionException("terminating");
                },
                timers);
        terminating.onSocketEvent();
        now += 5 * MS;
        assertEquals(5 * MS, terminating.maxQueuedNanos());
    }
}
