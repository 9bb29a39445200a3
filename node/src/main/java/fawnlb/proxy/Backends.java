package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import java.util.List;

/** The backends as the proxy sees them. The proxy calls it, and is called back, on the event loop. */
@EventLoopOnly
public interface Backends {
    /** How long a process may be held up between its look at the clock and the write that follows, in nanoseconds. */
    long MAX_PROCESS_STALL_NANOS = 150_000_000;

    /**
     * Starts an attempt. The listener hears at most once of a response and always, as the last, of the attempt's end;
     * it may hear of the end during this call. Nothing is sent to a backend that is draining or was removed by the time
     * at which its connection is up.
     *
     * @param backend the backend's endpoint id
     * @param responseDeadline when the attempt is given up if its response has not begun, in nanoseconds on the clock
     *     of {@link Timers}
     * @param sendDeadline the request is not sent at this time or later, on the same clock; {@code Long.MAX_VALUE} for
     *     no limit
     * @param retryPossible whether another attempt could follow, so that giving up early on a backend that stalls gains
     *     something
     */
    Attempt startAttempt(
            EndpointId backend,
            IncomingRequest request,
            long responseDeadline,
            long sendDeadline,
            boolean retryPossible,
            AttemptListener listener);

    /** Checks a backend's health. The listener hears of the result once. */
    void checkHealth(EndpointId backend, HealthCheckListener listener);

    /** An attempt that was started. */
    interface Attempt {
        /** Stops the attempt, which ends for this reason. Without effect once it has ended. */
        void stop(EndReason reason);
    }

    /** Hears of an attempt's progress. */
    interface AttemptListener {
        /**
         * Whether the request is still to be sent. Asked right before it is written, which may be long after the
         * attempt was started.
         */
        boolean isStillWanted();

        /** The backend's response has begun, and is the client's answer. */
        void onResponseStarted(ResponseSource source);

        /**
         * The backend found the request itself wrong, as every backend would, and its error response is the client's
         * answer. Called instead of {@link #onResponseStarted}.
         */
        void onClientErrorResponse(ResponseSource source);

        /**
         * The client has stopped reading the response, so the stream is no work for its backend until the client reads
         * on. Called at most once, between the response's start and the attempt's end.
         */
        void onClientStalled();

        /**
         * The attempt has ended.
         *
         * @param cachedTokens prompt tokens that the backend had in its cache
         * @param loadReport the backend's load report in the order of the settings, or empty
         */
        void onAttemptEnded(AttemptEnd end, long cachedTokens, List<Double> loadReport);
    }

    /** Hears of a health check's result. */
    interface HealthCheckListener {
        /** @param loadReport the backend's load report in the order of the settings, or empty */
        void onHealthChecked(AttemptOutcome outcome, List<Double> loadReport);
    }
}
