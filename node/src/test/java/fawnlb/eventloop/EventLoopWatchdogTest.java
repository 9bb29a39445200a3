package fawnlb.eventloop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.Test;

public class EventLoopWatchdogTest {
    private final Deque<Runnable> eventLoop = new ArrayDeque<>();
    private final List<String> log = new ArrayList<>();
    private final EventLoopWatchdog watchdog = new EventLoopWatchdog(
            eventLoop::add,
            () -> new StackTraceElement[] {new StackTraceElement("fawnlb.some.Place", "waits", "Place.java", 7)},
            log::add);
    private long now = 1000 * EventLoopWatchdog.CHECK_INTERVAL_NANOS;

    private void check(int times, boolean responds) {
        for (int i = 0; i < times; i++) {
            now += EventLoopWatchdog.CHECK_INTERVAL_NANOS;
            watchdog.check(now);
            if (responds) {
                eventLoop.forEach(Runnable::run);
                eventLoop.clear();
            }
        }
    }

    @Test
    public void stallIsReportedOnceWithStackTraceAndOnceWhenItEnds() {
        check(5, true);
        assertEquals(List.of(), log);
        check(9, false);
        assertEquals(log.toString(), 1, log.size());
        assertEquals("event loop stalled elapsed_ms=2000 stack=fawnlb.some.Place.waits(Place.java:7)", log.get(0));
        assertEquals("one ping at a time", 1, eventLoop.size());
        check(2, true);
        assertEquals(log.toString(), 2, log.size());
        assertTrue(log.get(1), log.get(1).startsWith("event loop responds again elapsed_ms="));
        check(5, true);
        assertEquals(2, log.size());
    }

    /** While the whole process is stopped, the event loop has no time to run either. */
    @Test
    public void pausedProcessIsNotReportedAsStalledThread() {
        check(3, true);
        check(1, false);
        now += 20 * EventLoopWatchdog.CHECK_INTERVAL_NANOS;
        check(2, false);
        assertEquals(List.of(), log);
    }
}
