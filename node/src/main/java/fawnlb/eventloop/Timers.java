package fawnlb.eventloop;

/** The clock that everything on one event loop reads, and its timers. All times are nanoseconds. */
public interface Timers {
    /** The time, in nanoseconds since the Unix epoch. It never goes back. Safe for all threads. */
    @ThreadSafe
    long now();

    /** Runs the task once on the event loop, not before the delay is over. A delay of 0 or less runs it soon. */
    Timer schedule(long delayNanos, Runnable task);

    /** Called by each socket handler as its first step, so that {@link #maxEventAgeNanos} can be known. */
    @EventLoopOnly
    default void onSocketEvent() {}

    /** For how long, at the most, the bytes that are being read may have waited for the event loop, in nanoseconds. */
    @EventLoopOnly
    default long maxEventAgeNanos() {
        return 0;
    }

    /** A task that was scheduled. */
    interface Timer {
        /** Prevents the task from running. Without effect if it has run. */
        void cancel();
    }
}
