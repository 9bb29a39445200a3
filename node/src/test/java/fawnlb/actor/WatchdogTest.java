package fawnlb.actor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.Test;

public class WatchdogTest {
    private final Deque<Runnable> thread = new ArrayDeque<>();
    private final List<String> log = new ArrayList<>();
    private final Watchdog watchdog = new Watchdog(
            thread::add,
            () -> new StackTraceElement[] {new StackTraceElement("fawnlb.some.Place", "waits", "Place.java", 7)},
            log::add);
    private long now = 1000 * Watchdog.PACE;

    private void look(int times, boolean turns) {
        for (int i = 0; i < times; i++) {
            now += Watchdog.PACE;
            watchdog.look(now);
            if (turns) {
                thread.forEach(Runnable::run);
                thread.clear();
            }
        }
    }

    @Test
    public void aThreadThatStandsStillIsToldOfOnceWithItsPlaceAndOnceWhenItTurnsAgain() {
        look(5, true);
        assertEquals(List.of(), log);
        look(9, false);
        assertEquals(log.toString(), 1, log.size());
        assertTrue(
                log.get(0),
                log.get(0).contains("not turned for 2000 ms") && log.get(0).contains("Place.java:7"));
        assertEquals("one sign asked for", 1, thread.size());
        look(2, true);
        assertEquals(log.toString(), 2, log.size());
        assertTrue(log.get(1), log.get(1).contains("turns again"));
        look(5, true);
        assertEquals(2, log.size());
    }

    /** Where the whole process is stopped for a while, the thread has not had that time either. */
    @Test
    public void aProcessThatStoodStillIsNoStalledThread() {
        look(3, true);
        look(1, false);
        now += 20 * Watchdog.PACE;
        look(2, false);
        assertEquals(List.of(), log);
    }
}
