package fawnlb.eventloop;

/** The clock that all actors read, and messages to come at a time of it. */
public interface Timers {
    /** Nanoseconds since the Unix epoch; never goes back. */
    long now();

    /** Runs the task once, so many nanoseconds from now. */
    Timer schedule(long delayNanos, Runnable task);

    /** Told at the beginning of each socket handler, so that {@link #maxEventAgeNanos} can be known. */
    default void onSocketEvent() {}

    /** How long the bytes that are being read may have waited for this thread, in nanoseconds, at the longest. */
    default long maxEventAgeNanos() {
        return 0;
    }

    /** A task that has not run yet. */
    interface Timer {
        void cancel();
    }
}
