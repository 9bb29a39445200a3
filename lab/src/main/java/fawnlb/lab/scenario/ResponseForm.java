package fawnlb.lab.scenario;

import fawnlb.translation.Dialect;
import java.util.List;

/** What a client requests: the API format of its own, and whether the response is streamed. */
record ResponseForm(Dialect clientDialect, boolean streaming) {
    /** All forms, in the order in which {@link FaultRound} draws faults for them. */
    static final List<ResponseForm> ALL = List.of(
            streamed(Dialect.CHAT), complete(Dialect.CHAT), complete(Dialect.MESSAGES), streamed(Dialect.MESSAGES));

    private static ResponseForm streamed(Dialect dialect) {
        return new ResponseForm(dialect, true);
    }

    private static ResponseForm complete(Dialect dialect) {
        return new ResponseForm(dialect, false);
    }

    /** Returns how tables show whether the response is streamed. */
    String title() {
        return streaming ? "streamed" : "not streamed";
    }
}
