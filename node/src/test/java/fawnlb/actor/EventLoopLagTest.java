package fawnlb.actor;

import static org.junit.Assert.assertEquals;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.Test;

public class EventLoopLagTest {
    private static final long MS = 1_000_000;

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private long now = 1000 * MS;
    private final EventLoopLag lag = new EventLoopLag(tasks::add, new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long nanos, Runnable task) {
            throw new UnsupportedOperationException();
        }
    });

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    private void round(long took) {
        lag.handling();
        now += took;
        runTasks();
    }

    @Test
    public void bytesReadAfterLongRoundMayHaveWaitedForAllOfIt() {
        round(300 * MS);
        lag.handling();
        now += 5 * MS;
        assertEquals(305 * MS, lag.nanos());
    }

    @Test
    public void tasksLeftByHandlersBelongToTheirRound() {
        lag.handling();
        tasks.add(() -> now += 300 * MS);
        runTasks();
        lag.handling();
        assertEquals(300 * MS, lag.nanos());
    }

    @Test
    public void bytesThatEndAnIdleWaitHaveNotWaited() {
        round(300 * MS);
        now += 50 * MS;
        lag.handling();
        assertEquals(0, lag.nanos());
    }

    @Test
    public void onlyTheLastRoundCounts() {
        round(300 * MS);
        round(2 * MS);
        lag.handling();
        assertEquals(2 * MS, lag.nanos());
    }

    @Test
    public void outsideRoundsNothingWaits() {
        round(300 * MS);
        assertEquals(0, lag.nanos());
    }
}
