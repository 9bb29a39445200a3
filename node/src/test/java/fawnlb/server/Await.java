package fawnlb.server;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that other threads bring about. */
final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Short beside all timeouts under test, and long enough to leave the processor to the server. */
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

    private Await() {}

    /** A condition; an I/O error means that it does not hold yet. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws IOException;
    }

    /** Waits until a condition holds, and fails if it does not within the timeout. */
    static void waitUntil(String expectation, Condition condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!holds(condition)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not within the timeout: " + expectation);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static boolean holds(Condition condition) {
        try {
            return condition.holds();
        } catch (IOException e) {
            return false;
        }
    }
}
