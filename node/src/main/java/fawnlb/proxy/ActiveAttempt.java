package fawnlb.proxy;

import fawnlb.decision.EndpointId;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.stream.EndReason;

/** One attempt of a request from the moment at which it is handed to a backend until its end is reported. */
@EventLoopOnly
final class ActiveAttempt {
    /** How far the attempt has come. */
    private enum Phase {
        /** The backend's response has not begun. */
        AWAITING_RESPONSE,
        /** The response is being passed on to the client. */
        STREAMING,
        /** The backend found the request itself wrong, and its error response is being passed on. */
        STREAMING_CLIENT_ERROR,
        /**
         * The response has begun and the client has stopped reading it. The load balancer takes the attempt for ended.
         */
        CLIENT_STALLED
    }

    private final int number;
    private final EndpointId endpointId;
    private final long startedAt;
    private Phase phase = Phase.AWAITING_RESPONSE;
    private Backends.Attempt handle;
    private Timers.Timer responseTimer;

    ActiveAttempt(int number, EndpointId endpointId, long startedAt) {
        this.number = number;
        this.endpointId = endpointId;
        this.startedAt = startedAt;
    }

    /** The number of the attempt within its request, from 0. */
    int number() {
        return number;
    }

    /** The endpoint that the attempt was sent to. */
    EndpointId endpointId() {
        return endpointId;
    }

    /** When the attempt was handed to its backend, in nanoseconds on the clock of {@link Timers}. */
    long startedAt() {
        return startedAt;
    }

    /** Sets the timer that stops the attempt if its response does not begin in time. */
    void setResponseTimer(Timers.Timer timer) {
        responseTimer = timer;
    }

    void cancelResponseTimer() {
        responseTimer.cancel();
    }

    /** Sets the means to stop the attempt, once the backend has given it. */
    void setHandle(Backends.Attempt handle) {
        this.handle = handle;
    }

    /** Asks the backend to stop the attempt; the end is reported to the attempt's listener. */
    void stop(EndReason reason) {
        if (handle != null) {
            handle.stop(reason);
        }
    }

    boolean hasResponseStarted() {
        return phase != Phase.AWAITING_RESPONSE;
    }

    /** Whether the response is a backend's error response that says the client's request is wrong. */
    boolean isClientError() {
        return phase == Phase.STREAMING_CLIENT_ERROR;
    }

    boolean isClientStalled() {
        return phase == Phase.CLIENT_STALLED;
    }

    /** Whether the response is being passed on as any other, and a stall of its client is still to be reported. */
    boolean canStall() {
        return phase == Phase.STREAMING;
    }

    void startResponse() {
        phase = Phase.STREAMING;
    }

    void startClientErrorResponse() {
        phase = Phase.STREAMING_CLIENT_ERROR;
    }

    void stallClient() {
        phase = Phase.CLIENT_STALLED;
    }

    /** Begins a log line about this attempt of the request. */
    LogLine logLine(String event, ProxiedRequest request) {
        return request.logLine(event).backend(endpointId.name()).attempt(number);
    }
}
