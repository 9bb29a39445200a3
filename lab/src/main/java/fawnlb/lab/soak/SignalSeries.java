package fawnlb.lab.soak;

import java.util.List;

/** Signals that a node gets in a row at a planned shutdown. */
final class SignalSeries {
    private static final String RELOAD = "HUP";
    private static final String SHUTDOWN = "TERM";
    private static final List<List<String>> SERIES = List.of(
            List.of(SHUTDOWN),
            List.of(RELOAD, SHUTDOWN),
            List.of(SHUTDOWN, RELOAD, RELOAD),
            List.of(SHUTDOWN, SHUTDOWN),
            List.of(RELOAD, RELOAD, RELOAD, SHUTDOWN, RELOAD, SHUTDOWN));

    private SignalSeries() {}

    /** Returns the series that a selector stands for. */
    static List<String> of(int selector) {
        return SERIES.get(selector % SERIES.size());
    }

    /** Whether a signal begins the shutdown. */
    static boolean isShutdown(String signal) {
        return signal.equals(SHUTDOWN);
    }
}
