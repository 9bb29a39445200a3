package fawnlb.server;

import fawnlb.metrics.LogLine;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;

/**
 * Retries steps of a start that fail for a cause which may pass: an address that a predecessor still listens on, no
 * descriptor or no memory for a socket. The platform waits 30 s for readiness, and a late start is better than none. It
 * may be used on any thread, which it blocks.
 */
final class StartupRetry {
    private static final Logger LOG = Logger.getLogger(StartupRetry.class.getName());
    /** A predecessor accepts connections for 0.6 s after SIGTERM, and may have little of a processor. */
    private static final long MAX_RETRY_SECONDS = 10;

    private static final long MAX_RETRY_NANOS = MAX_RETRY_SECONDS * 1_000_000_000;
    private static final long RETRY_INTERVAL_MILLIS = 20;

    private final BooleanSupplier shutdownRequested;

    /** A step that may fail. */
    @FunctionalInterface
    interface StartupStep<T> {
        T run() throws IOException;
    }

    /**
     * Creates a retry.
     *
     * @param shutdownRequested asked before each further attempt, on the thread that runs the step; true ends the
     *     retries
     */
    StartupRetry(BooleanSupplier shutdownRequested) {
        this.shutdownRequested = shutdownRequested;
    }

    /**
     * Runs a step until it succeeds, and returns its result.
     *
     * @param resource what the step needs, such as an address, for the log and the message of the exception
     * @throws InterruptedIOException if a shutdown was requested, or the thread was interrupted
     * @throws IOException if the step failed for a permanent cause, or for too long
     */
    <T> T run(String resource, StartupStep<T> step) throws IOException {
        long startedAt = System.nanoTime();
        boolean isLogged = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException e) {
                if (isPermanent(e) || System.nanoTime() - startedAt > MAX_RETRY_NANOS) {
                    throw new IOException(resource + ": " + e.getMessage(), e);
                }
                failIfShutdownRequested(resource, e);
                if (!isLogged) {
                    isLogged = true;
                    logRetry(resource, e);
                }
            }
            pause(resource);
        }
    }

    /** An address that is not this machine's, or that is not permitted, will not become usable. */
    private static boolean isPermanent(IOException e) {
        return e instanceof BindException && !String.valueOf(e.getMessage()).contains("in use");
    }

    private void failIfShutdownRequested(String resource, IOException cause) throws InterruptedIOException {
        if (shutdownRequested.getAsBoolean()) {
            InterruptedIOException interrupted = new InterruptedIOException(
                    "shutdown requested while waiting for " + resource + ": " + cause.getMessage());
            interrupted.initCause(cause);
            throw interrupted;
        }
    }

    private static void logRetry(String resource, IOException cause) {
        LOG.warning(LogLine.event("start step failed, retrying")
                .with("resource", resource)
                .reason(String.valueOf(cause.getMessage()))
                .with("max_seconds", MAX_RETRY_SECONDS)
                .toString());
    }

    private static void pause(String resource) throws InterruptedIOException {
        try {
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for " + resource);
        }
    }
}
