package fawnlb.cli;

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
final class StartRetry {
    private static final Logger LOG = Logger.getLogger(StartRetry.class.getName());
    /** A predecessor accepts for 0.6 s after SIGTERM and may have little of a core. */
    private static final long MAX_SECONDS = 10;

    private static final long MAX_NANOS = MAX_SECONDS * 1_000_000_000;
    private static final long PAUSE_MS = 20;

    private final BooleanSupplier toldToEnd;

    /** A step that may fail. */
    @FunctionalInterface
    interface Step<T> {
        T take() throws IOException;
    }

    /** Told to end: asked before each further try. */
    StartRetry(BooleanSupplier toldToEnd) {
        this.toldToEnd = toldToEnd;
    }

    /** Takes the step, for some seconds again and again; {@code what} it concerns, such as an address. */
    <T> T take(String what, Step<T> step) throws IOException {
        long began = System.nanoTime();
        boolean said = false;
        while (true) {
            try {
                return step.take();
            } catch (IOException e) {
                if (isForGood(e) || System.nanoTime() - began > MAX_NANOS) {
                    throw new IOException(what + ": " + e.getMessage(), e);
                }
                if (toldToEnd.getAsBoolean()) {
                    throw new InterruptedIOException("told to end while waiting for " + what + ": " + e.getMessage());
                }
                if (!said) {
                    said = true;
                    LOG.warning(what + ": " + e.getMessage() + "; tries again for " + MAX_SECONDS + " s");
                }
            }
            pause(what);
        }
    }

    /** An address that is not this machine's or not allowed will not become so. */
    private static boolean isForGood(IOException e) {
        return e instanceof BindException && !String.valueOf(e.getMessage()).contains("in use");
    }

    private static void pause(String what) throws InterruptedIOException {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for " + what);
        }
    }
}
