package fawnlb.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A simulated clock, and callbacks that run when it reaches their time; those of one time run in the order of their
 * scheduling.
 */
final class EventQueue {
    private record Event(long at, long order, Runnable callback) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long scheduled;

    EventQueue(long now) {
        this.now = now;
    }

    long now() {
        return now;
    }

    void schedule(long at, Runnable callback) {
        events.add(new Event(at, scheduled++, callback));
    }

    /** Moves the clock to the next event and runs it. */
    void runNext() {
        Event event = events.remove();
        now = event.at();
        event.callback().run();
    }

    /** Runs all events until a time, each at its own time. */
    void advanceTo(long time) {
        while (!events.isEmpty() && events.peek().at() <= time) {
            runNext();
        }
        now = time;
    }

    /** Moves the clock to a time, and runs all events until then as if they were late. */
    void jumpTo(long time) {
        now = time;
        while (!events.isEmpty() && events.peek().at() <= time) {
            events.remove().callback().run();
        }
    }
}
