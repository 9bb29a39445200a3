package fawnlb.eventloop;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs what may throw although nobody expects it, on a thread that must go on and for somebody who waits for the
 * outcome.
 */
public final class UncaughtErrorHandler {
    private static final Logger LOG = Logger.getLogger(UncaughtErrorHandler.class.getName());

    private UncaughtErrorHandler() {}

    /**
     * Runs the task.
     *
     * @param failureMessage the log line if it throws
     * @param onFailure tells whoever waits, if it throws
     */
    public static void run(Runnable task, String failureMessage, Runnable onFailure) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            LOG.log(Level.SEVERE, failureMessage, failure);
            try {
                onFailure.run();
            } catch (RuntimeException | Error secondFailure) {
                LOG.log(Level.SEVERE, "what follows a failure failed too", secondFailure);
            }
        }
    }
}
