package fawnlb.stream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The life of an attempt and its stream as a table: each signal that can come in a state has one place in it. The
 * backend's side and the client's side are told to it in the order in which they are seen; a pair that the table lacks
 * can't come, and changes nothing if it does.
 */
public final class Life {
    private static final Map<State, Map<Signal, State>> TABLE = new EnumMap<>(State.class);

    static {
        in(State.HEAD)
                .on(Signal.ANSWER, State.FIRST_EVENT)
                .on(Signal.NO_ANSWER, State.TURNED_AWAY)
                .on(Signal.UNUSUAL, State.STALLED)
                .on(Signal.OVER, State.ENDED)
                .on(Signal.CLOSED, State.ENDED);
        in(State.TURNED_AWAY)
                .on(Signal.SIGN, State.TURNED_AWAY)
                .on(Signal.OVER, State.ENDED)
                .on(Signal.CLOSED, State.ENDED);
        in(State.FIRST_EVENT)
                .on(Signal.SIGN, State.FIRST_EVENT)
                .on(Signal.PIECE, State.FLOWING)
                .on(Signal.UNUSUAL, State.STALLED)
                .on(Signal.LAST, State.LAST_PIECE)
                .on(Signal.OVER, State.ENDED)
                .on(Signal.CLOSED, State.ENDED);
        in(State.FLOWING)
                .on(Signal.SIGN, State.FLOWING)
                .on(Signal.PIECE, State.FLOWING)
                .on(Signal.TOOK, State.FLOWING)
                .on(Signal.UNUSUAL, State.STALLED)
                .on(Signal.LAGS, State.READER_SLOW)
                .on(Signal.LAST, State.LAST_PIECE)
                .on(Signal.OVER, State.BROKEN)
                .on(Signal.CLOSED, State.ENDED);
        in(State.STALLED)
                .on(Signal.ANSWER, State.FIRST_EVENT)
                .on(Signal.NO_ANSWER, State.TURNED_AWAY)
                .on(Signal.SIGN, State.FLOWING)
                .on(Signal.PIECE, State.FLOWING)
                .on(Signal.SILENCE, State.BROKEN)
                .on(Signal.LAST, State.LAST_PIECE)
                .on(Signal.OVER, State.BROKEN)
                .on(Signal.CLOSED, State.ENDED);
        in(State.READER_SLOW)
                .on(Signal.TAKES, State.READER_SLOW)
                .on(Signal.TOOK, State.FLOWING)
                .on(Signal.IDLE, State.READER_STOPPED)
                .on(Signal.LAST, State.LAST_PIECE)
                .on(Signal.OVER, State.BROKEN)
                .on(Signal.CLOSED, State.ENDED);
        in(State.READER_STOPPED)
                .on(Signal.TAKES, State.READER_SLOW)
                .on(Signal.TOOK, State.FLOWING)
                .on(Signal.GIVEN_UP, State.BROKEN)
                .on(Signal.LAST, State.LAST_PIECE)
                .on(Signal.OVER, State.BROKEN)
                .on(Signal.CLOSED, State.ENDED);
        in(State.LAST_PIECE)
                .on(Signal.LAGS, State.LAST_PIECE)
                .on(Signal.TAKES, State.LAST_PIECE)
                .on(Signal.TOOK, State.LAST_PIECE)
                .on(Signal.GIVEN_UP, State.BROKEN)
                .on(Signal.OVER, State.BROKEN)
                .on(Signal.CLOSED, State.ENDED);
        in(State.BROKEN).on(Signal.CLOSED, State.ENDED);
        in(State.ENDED);
    }

    private Life() {}

    private static Row in(State state) {
        Map<Signal, State> row = new EnumMap<>(Signal.class);
        TABLE.put(state, row);
        return new Row(row);
    }

    private record Row(Map<Signal, State> cells) {
        Row on(Signal signal, State next) {
            cells.put(signal, next);
            return this;
        }
    }

    /** The state after a signal, null if the signal can't come in this state. */
    public static State after(State state, Signal signal) {
        return TABLE.get(state).get(signal);
    }

    /** The table as the documentation has it: one line for each state and signal. */
    public static List<String> lines() {
        List<String> lines = new ArrayList<>();
        TABLE.forEach((state, row) -> row.forEach((signal, next) ->
                lines.add("| " + state.words() + " | " + signal.words() + " | " + next.words() + " |")));
        return lines;
    }
}
