package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import java.util.List;

/** The backends as the core sees them. */
public interface Backends {
    /** A process may be held up for so long between its look at the clock and the write, in nanoseconds. */
    long MAX_PROCESS_STALL_NANOS = 150_000_000;

    /**
     * Starts an attempt. The report hears of it once or twice: perhaps its start, and always its end. A backend that
     * drains or has left by the time at which its connection is up is sent nothing.
     *
     * @param responseDeadline when the node no longer waits for its answer to begin, in nanoseconds on the host's clock
     * @param sendDeadline the request is not sent at this time or later, in nanoseconds on the host's clock
     * @param retryPossible whether another could follow it, so that there is something to gain by not waiting for it to
     *     the end
     */
    Attempt startAttempt(
            long backend,
            IncomingRequest request,
            long responseDeadline,
            long sendDeadline,
            boolean retryPossible,
            AttemptListener listener);

    /** Tests a backend. */
    void checkHealth(long backend, HealthCheckListener listener);

    /** One attempt that is out. */
    interface Attempt {
        /** Stops it with this end; without effect once it has ended. */
        void stop(EndReason reason);
    }

    /** What becomes of an attempt. */
    interface AttemptListener {
        /**
         * Asked when the request is about to be written, which may be long after it was decided on: is it still wanted?
         */
        boolean isStillWanted();

        void onResponseStarted(ResponseSource source);

        /** Instead of its start: the backend finds the request itself wrong, as every backend would. */
        void onClientErrorResponse(ResponseSource source);

        /**
         * Between its start and its end: its reader has stopped, and until it reads on it is no work for the backend.
         */
        void onClientStalled();

        void onAttemptEnded(AttemptEnd end, long cachedTokens, List<Double> loadReport);
    }

    /** What a probe finds. */
    interface HealthCheckListener {
        void onHealthChecked(AttemptOutcome outcome, List<Double> loadReport);
    }
}
