package fawnlb.proxy;

import fawnlb.decision.EndpointId;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;

/**
 * One client's request from its submission to its final answer and the end of its last attempt: its state, deadline and
 * attempts. Created by the thread of the front; from then on it belongs to the event loop.
 */
@EventLoopOnly
final class ProxiedRequest {
    /** No attempt may have run. */
    private static final long NEVER = Long.MAX_VALUE;

    private final IncomingRequest incoming;
    private final ClientConnection client;
    private final long deadline;
    private long id;
    private RequestState state = RequestState.RECEIVED;
    private int attemptCount;
    private AttemptEnd lastAttemptEnd;
    private ActiveAttempt activeAttempt;
    private long firstPossibleExecutionAt = NEVER;
    private Timers.Timer finalDeadlineTimer;

    /** @param deadline when the response must have begun, in nanoseconds on the clock of {@link Timers} */
    ProxiedRequest(IncomingRequest incoming, ClientConnection client, long deadline) {
        this.incoming = incoming;
        this.client = client;
        this.deadline = deadline;
    }

    IncomingRequest incoming() {
        return incoming;
    }

    ClientConnection client() {
        return client;
    }

    /** When the response must have begun, in nanoseconds on the clock of {@link Timers}. */
    long deadline() {
        return deadline;
    }

    /** The number by which the load balancer knows the request; 0 before it was admitted. */
    long id() {
        return id;
    }

    RequestState state() {
        return state;
    }

    boolean isAnswered() {
        return state.isAnswered();
    }

    /** How many attempts were started or used up. */
    int attemptCount() {
        return attemptCount;
    }

    /** How the last attempt ended, {@code null} if none has. */
    AttemptEnd lastAttemptEnd() {
        return lastAttemptEnd;
    }

    /** The attempt that has not ended yet, {@code null} if there is none. */
    ActiveAttempt activeAttempt() {
        return activeAttempt;
    }

    boolean hasActiveAttempt() {
        return activeAttempt != null;
    }

    boolean isActive(ActiveAttempt attempt) {
        return activeAttempt == attempt;
    }

    /** Whether a backend may have executed the request, or may be executing it now. */
    boolean mayHaveRun() {
        return activeAttempt != null || hasPossibleExecution();
    }

    /** Whether an attempt that ended may have executed the request. */
    boolean hasPossibleExecution() {
        return firstPossibleExecutionAt != NEVER;
    }

    /** When the first attempt that may have been executed was started; {@code Long.MAX_VALUE} if there is none. */
    long firstPossibleExecutionAt() {
        return firstPossibleExecutionAt;
    }

    void admit(long givenId) {
        id = givenId;
        move(RequestEvent.ADMITTED);
    }

    /** Replaces the timer of the final deadline. */
    void setFinalDeadlineTimer(Timers.Timer timer) {
        cancelFinalDeadlineTimer();
        finalDeadlineTimer = timer;
    }

    /** Uses up the number of an attempt that is not started, and returns it. */
    int skipAttempt() {
        return attemptCount++;
    }

    /** Starts the next attempt, at the time {@code now}. */
    ActiveAttempt startAttempt(EndpointId endpointId, long now) {
        move(RequestEvent.ATTEMPT_STARTED);
        activeAttempt = new ActiveAttempt(attemptCount++, endpointId, now);
        return activeAttempt;
    }

    /** The response of the active attempt becomes the final answer. */
    void startResponse() {
        move(RequestEvent.RESPONSE_STARTED);
        activeAttempt.cancelResponseTimer();
        cancelFinalDeadlineTimer();
        releasePayload();
    }

    /** Records the end of the active attempt. */
    void endAttempt(AttemptEnd end) {
        move(RequestEvent.ATTEMPT_ENDED);
        if (end.outcome().mayHaveRun()) {
            firstPossibleExecutionAt = Math.min(firstPossibleExecutionAt, activeAttempt.startedAt());
        }
        lastAttemptEnd = end;
        activeAttempt.cancelResponseTimer();
        activeAttempt = null;
        reportEndIfAnswered();
    }

    /** The client was sent a fixed answer, or has left. */
    void close() {
        move(RequestEvent.CLOSED);
        cancelFinalDeadlineTimer();
        releasePayload();
        reportEndIfAnswered();
    }

    private void reportEndIfAnswered() {
        if (state == RequestState.ANSWERED) {
            client.onRequestEnded(mayHaveRun());
        }
    }

    /** The request has its final answer, so no further attempt will be made. */
    private void releasePayload() {
        if (incoming.payload() != null) {
            incoming.payload().release();
        }
    }

    void stopAttempt(EndReason reason) {
        if (activeAttempt != null) {
            activeAttempt.stop(reason);
        }
    }

    /** Begins a log line about this request: the client's id for it, and the number of the load balancer. */
    LogLine logLine(String event) {
        return LogLine.event(event).requestId(clientRequestId()).with("sequence", id);
    }

    /** Names the request where an invariant is violated. */
    String describe() {
        return "request " + (clientRequestId() == null ? "" : clientRequestId()) + " (sequence " + id + ')';
    }

    /** The id that the client gave the request, null if it is not known. */
    String clientRequestId() {
        return incoming.payload() == null ? null : incoming.payload().requestId();
    }

    private void move(RequestEvent event) {
        state = RequestStateMachine.stateAfter(state, event);
    }

    private void cancelFinalDeadlineTimer() {
        if (finalDeadlineTimer != null) {
            finalDeadlineTimer.cancel();
        }
    }
}
