package fawnlb.proxy;

import java.util.EnumMap;
import java.util.Map;

/** The legal moves of a request as a table of states and events. It holds no state of its own. */
final class RequestStateMachine {
    private static final Map<RequestState, Map<RequestEvent, RequestState>> TRANSITIONS =
            new EnumMap<>(RequestState.class);

    static {
        from(RequestState.RECEIVED)
                .on(RequestEvent.ADMITTED, RequestState.AWAITING_DECISION)
                .on(RequestEvent.CLOSED, RequestState.ANSWERED);
        from(RequestState.AWAITING_DECISION)
                .on(RequestEvent.ATTEMPT_STARTED, RequestState.ATTEMPTING)
                .on(RequestEvent.CLOSED, RequestState.ANSWERED);
        from(RequestState.ATTEMPTING)
                .on(RequestEvent.RESPONSE_STARTED, RequestState.STREAMING)
                .on(RequestEvent.ATTEMPT_ENDED, RequestState.AWAITING_DECISION)
                .on(RequestEvent.CLOSED, RequestState.STOPPING_ATTEMPT);
        from(RequestState.STREAMING)
                .on(RequestEvent.ATTEMPT_ENDED, RequestState.ANSWERED)
                .on(RequestEvent.CLOSED, RequestState.STOPPING_ATTEMPT);
        from(RequestState.STOPPING_ATTEMPT)
                .on(RequestEvent.ATTEMPT_ENDED, RequestState.ANSWERED)
                .on(RequestEvent.CLOSED, RequestState.STOPPING_ATTEMPT);
        from(RequestState.ANSWERED);
    }

    private RequestStateMachine() {}

    private static TransitionRow from(RequestState state) {
        Map<RequestEvent, RequestState> nextStates = new EnumMap<>(RequestEvent.class);
        TRANSITIONS.put(state, nextStates);
        return new TransitionRow(nextStates);
    }

    private record TransitionRow(Map<RequestEvent, RequestState> nextStates) {
        TransitionRow on(RequestEvent event, RequestState next) {
            nextStates.put(event, next);
            return this;
        }
    }

    /**
     * Returns the state after an event.
     *
     * @throws IllegalStateException if the event can't happen in this state, which is a bug of the caller
     */
    static RequestState stateAfter(RequestState state, RequestEvent event) {
        RequestState next = TRANSITIONS.get(state).get(event);
        if (next == null) {
            throw new IllegalStateException("a request in state '" + state.label() + "' can't be " + event.label());
        }
        return next;
    }
}
