package fawnlb.actor;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs what may throw although nobody expects it, on a thread that must go on and for somebody who waits for the
 * outcome.
 */
public final class Guard {
    private static final Logger LOG = Logger.getLogger(Guard.class.getName());

    private Guard() {}

    /**
     * Runs the task.
     *
     * @param what the log line if it throws
     * @param failed tells whoever waits, if it throws
     */
    public static void run(Runnable task, String what, Runnable failed) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, what, e);
            try {
                failed.run();
            } catch (RuntimeException | Error f) {
                LOG.log(Level.SEVERE, "what follows a failure failed too", f);
            }
        }
    }
}
