package fawnlb.stream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The states of an attempt and its stream, and the transitions between them. Events of the backend's and the client's
 * side arrive in one order. An event that has no transition in a state is not expected there, and leaves the state as
 * it is. The design document contains the same table; a test compares them.
 */
public final class StreamStateMachine {
    private static final Map<StreamState, Map<StreamEvent, StreamState>> TRANSITIONS = new EnumMap<>(StreamState.class);

    static {
        addStatesBeforeFirstEvent();
        addStatesOfBackendActivity();
        addStatesOfSlowClient();
        addStatesOfEnding();
    }

    private StreamStateMachine() {}

    private static void addStatesBeforeFirstEvent() {
        from(StreamState.AWAITING_HEAD)
                .on(StreamEvent.RESPONSE_HEAD, StreamState.AWAITING_FIRST_EVENT)
                .on(StreamEvent.ERROR_HEAD, StreamState.DISCARDING_BODY)
                .on(StreamEvent.SILENCE_SUSPECTED, StreamState.STALLED)
                .on(StreamEvent.BACKEND_ENDED, StreamState.CLOSED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.DISCARDING_BODY)
                .on(StreamEvent.PARTIAL_DATA, StreamState.DISCARDING_BODY)
                .on(StreamEvent.BACKEND_ENDED, StreamState.CLOSED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.AWAITING_FIRST_EVENT)
                .on(StreamEvent.PARTIAL_DATA, StreamState.AWAITING_FIRST_EVENT)
                .on(StreamEvent.CHUNK, StreamState.STREAMING)
                .on(StreamEvent.SILENCE_SUSPECTED, StreamState.STALLED)
                .on(StreamEvent.RESPONSE_COMPLETE, StreamState.FLUSHING)
                .on(StreamEvent.BACKEND_ENDED, StreamState.CLOSED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
    }

    private static void addStatesOfBackendActivity() {
        from(StreamState.STREAMING)
                .on(StreamEvent.PARTIAL_DATA, StreamState.STREAMING)
                .on(StreamEvent.CHUNK, StreamState.STREAMING)
                .on(StreamEvent.CLIENT_CAUGHT_UP, StreamState.STREAMING)
                .on(StreamEvent.SILENCE_SUSPECTED, StreamState.STALLED)
                .on(StreamEvent.CLIENT_BACKPRESSURE, StreamState.CLIENT_SLOW)
                .on(StreamEvent.RESPONSE_COMPLETE, StreamState.FLUSHING)
                .on(StreamEvent.BACKEND_ENDED, StreamState.ABORTED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.STALLED)
                .on(StreamEvent.RESPONSE_HEAD, StreamState.AWAITING_FIRST_EVENT)
                .on(StreamEvent.ERROR_HEAD, StreamState.DISCARDING_BODY)
                .on(StreamEvent.PARTIAL_DATA, StreamState.STREAMING)
                .on(StreamEvent.CHUNK, StreamState.STREAMING)
                .on(StreamEvent.SILENCE_TIMEOUT, StreamState.ABORTED)
                .on(StreamEvent.RESPONSE_COMPLETE, StreamState.FLUSHING)
                .on(StreamEvent.BACKEND_ENDED, StreamState.ABORTED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
    }

    private static void addStatesOfSlowClient() {
        from(StreamState.CLIENT_SLOW)
                .on(StreamEvent.CLIENT_PROGRESS, StreamState.CLIENT_SLOW)
                .on(StreamEvent.CLIENT_CAUGHT_UP, StreamState.STREAMING)
                .on(StreamEvent.CLIENT_IDLE, StreamState.CLIENT_STALLED)
                .on(StreamEvent.RESPONSE_COMPLETE, StreamState.FLUSHING)
                .on(StreamEvent.BACKEND_ENDED, StreamState.ABORTED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.CLIENT_STALLED)
                .on(StreamEvent.CLIENT_PROGRESS, StreamState.CLIENT_SLOW)
                .on(StreamEvent.CLIENT_CAUGHT_UP, StreamState.STREAMING)
                .on(StreamEvent.CLIENT_TIMEOUT, StreamState.ABORTED)
                .on(StreamEvent.RESPONSE_COMPLETE, StreamState.FLUSHING)
                .on(StreamEvent.BACKEND_ENDED, StreamState.ABORTED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
    }

    private static void addStatesOfEnding() {
        from(StreamState.FLUSHING)
                .on(StreamEvent.CLIENT_BACKPRESSURE, StreamState.FLUSHING)
                .on(StreamEvent.CLIENT_PROGRESS, StreamState.FLUSHING)
                .on(StreamEvent.CLIENT_CAUGHT_UP, StreamState.FLUSHING)
                .on(StreamEvent.CLIENT_TIMEOUT, StreamState.ABORTED)
                .on(StreamEvent.BACKEND_ENDED, StreamState.ABORTED)
                .on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.ABORTED).on(StreamEvent.CLIENT_CLOSED, StreamState.CLOSED);
        from(StreamState.CLOSED);
    }

    private static TransitionRow from(StreamState state) {
        Map<StreamEvent, StreamState> row = new EnumMap<>(StreamEvent.class);
        TRANSITIONS.put(state, row);
        return new TransitionRow(row);
    }

    /** The transitions from one state. */
    private record TransitionRow(Map<StreamEvent, StreamState> nextStates) {
        TransitionRow on(StreamEvent event, StreamState next) {
            nextStates.put(event, next);
            return this;
        }
    }

    /** Returns the state after an event, null if the event is not expected in this state. */
    public static StreamState stateAfter(StreamState state, StreamEvent event) {
        return TRANSITIONS.get(state).get(event);
    }

    /** Returns the rows of the documentation's transition table, one for each state and event. */
    public static List<String> documentationRows() {
        List<String> rows = new ArrayList<>();
        TRANSITIONS.forEach((state, row) -> row.forEach(
                (event, next) -> rows.add("| " + state.label() + " | " + event.label() + " | " + next.label() + " |")));
        return rows;
    }
}
