package fawnlb.server;

import static org.junit.Assert.assertTrue;

import java.time.Duration;

/** Measures how long something takes from the stopwatch's creation. */
final class Stopwatch {
    private final long startNanos = System.nanoTime();

    Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    void assertBelow(Duration limit) {
        Duration elapsed = elapsed();
        assertTrue("took " + elapsed.toMillis() + " ms", elapsed.compareTo(limit) < 0);
    }
}
