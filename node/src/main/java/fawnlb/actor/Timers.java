package fawnlb.actor;

/** The clock that all actors read, and messages to come at a time of it. */
public interface Timers {
    /** Nanoseconds since the Unix epoch; never goes back. */
    long now();

    /** Runs the task once, so many nanoseconds from now. */
    Timer after(long nanos, Runnable task);

    /** A task that has not run yet. */
    interface Timer {
        void cancel();
    }
}
