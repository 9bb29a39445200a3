package fawnlb.server;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;

/**
 * Takes steps of a start again that fail for a cause which may pass: an address that a predecessor still has, no
 * descriptor or no memory for a socket. Readiness is waited for for 30 s, and a start that fails is worse than a late
 * one.
 */
final class StartupRetry {
    private static final Logger LOG = Logger.getLogger(StartupRetry.class.getName());
    /** A predecessor accepts for 0.6 s after SIGTERM and may have little of a core. */
    private static final long MAX_RETRY_SECONDS = 10;

    private static final long MAX_RETRY_NANOS = MAX_RETRY_SECONDS * 1_000_000_000;
    private static final long RETRY_INTERVAL_MILLIS = 20;

    private final BooleanSupplier shutdownRequested;

    /** A step that may fail. */
    @FunctionalInterface
    interface StartupStep<T> {
        T run() throws IOException;
    }

    /** Told to end: asked before each further try. */
    StartupRetry(BooleanSupplier shutdownRequested) {
        this.shutdownRequested = shutdownRequested;
    }

    /** Takes the step, for some seconds again and again; {@code resource} it concerns, such as an address. */
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
                if (shutdownRequested.getAsBoolean()) {
                    throw new InterruptedIOException(
                            "told to end while waiting for " + resource + ": " + e.getMessage());
                }
                if (!isLogged) {
                    isLogged = true;
                    LOG.warning(resource + ": " + e.getMessage() + "; tries again for " + MAX_RETRY_SECONDS + " s");
                }
            }
            pause(resource);
        }
    }

    /** An address that is not this machine's or not allowed will not become so. */
    private static boolean isPermanent(IOException e) {
        return e instanceof BindException && !String.valueOf(e.getMessage()).contains("in use");
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
