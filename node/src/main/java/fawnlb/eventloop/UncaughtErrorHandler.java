package fawnlb.eventloop;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs tasks on a thread that must go on whatever they throw. Other code does not catch {@code RuntimeException}. */
@ThreadSafe
public final class UncaughtErrorHandler {
    private static final Logger LOG = Logger.getLogger(UncaughtErrorHandler.class.getName());

    private UncaughtErrorHandler() {}

    /**
     * Runs the task. What it throws is logged as {@code SEVERE} and not thrown on.
     *
     * @param failureMessage the log line if the task throws
     * @param onFailure runs after the log line if the task throws, so that a caller that waits for its outcome hears of
     *     it
     */
    public static void run(Runnable task, String failureMessage, Runnable onFailure) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            LOG.log(Level.SEVERE, failureMessage, failure);
            runOnFailure(onFailure);
        }
    }

    private static void runOnFailure(Runnable onFailure) {
        try {
            onFailure.run();
        } catch (RuntimeException | Error secondFailure) {
            LOG.log(Level.SEVERE, "handling a failure failed too", secondFailure);
        }
    }
}
