package fawnlb.lab.scenario;

import fawnlb.lab.load.ClientResponse;
import fawnlb.translation.Dialect;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What a client of {@link StreamFaults} received.
 *
 * @param label name of the outcome in tables
 * @param violation why the outcome must not occur, if it must not
 */
record ResponseOutcome(String label, Optional<ResponseViolation> violation) {
    private static final String COMPLETE = "complete";
    private static final Set<Integer> CLEAR_ERRORS = Set.of(502, 503, 504);
    /** The reason of an error, as the node's responses state it. */
    private static final Pattern REASON = Pattern.compile("\\([a-z]+(-[a-z]+)*\\)");
    /** Last events with the empty line behind them, without which a reader does not take them for events. */
    private static final Pattern CHAT_END_EVENT = Pattern.compile("data: \\[DONE\\]\n\n");

    private static final Pattern MESSAGES_END_EVENT = Pattern.compile("event: message_stop\ndata: [^\n]*\n\n");

    /**
     * Classifies a response.
     *
     * @param bodyMatches whether the body is that of the same request without a fault
     */
    static ResponseOutcome classify(PlannedRequest request, ClientResponse response, boolean bodyMatches) {
        if (response.status() == 0) {
            return violated("no response", ResponseViolation.NO_RESPONSE);
        }
        if (response.status() == 200) {
            return response.complete()
                    ? classifyComplete(bodyMatches)
                    : classifyTruncated(request.form(), response, bodyMatches);
        }
        return classifyError(request, response);
    }

    private static ResponseOutcome classifyComplete(boolean bodyMatches) {
        return bodyMatches ? allowed(COMPLETE) : violated(COMPLETE, ResponseViolation.WRONG_BUT_COMPLETE);
    }

    private static ResponseOutcome classifyTruncated(ResponseForm form, ClientResponse response, boolean bodyMatches) {
        boolean namesReason = response.body().contains("\"error\":{") && hasReason(response);
        String label =
                bodyMatches ? "all events, then broken" : namesReason ? "truncated, with its reason" : "truncated";
        Pattern endEvent = form.clientDialect() == Dialect.CHAT ? CHAT_END_EVENT : MESSAGES_END_EVENT;
        boolean looksComplete =
                !form.streaming() || endEvent.matcher(response.body()).find() && !bodyMatches;
        return looksComplete ? violated(label, ResponseViolation.WRONG_BUT_COMPLETE) : allowed(label);
    }

    private static ResponseOutcome classifyError(PlannedRequest request, ClientResponse response) {
        String label = Integer.toString(response.status());
        if (!CLEAR_ERRORS.contains(response.status()) || !response.complete()) {
            return violated(label, ResponseViolation.UNCLEAR);
        }
        if (request.wasAttempted() && !hasReason(response)) {
            return violated(label, ResponseViolation.NO_REASON);
        }
        return allowed(label);
    }

    private static boolean hasReason(ClientResponse response) {
        return REASON.matcher(response.body()).find();
    }

    private static ResponseOutcome allowed(String label) {
        return new ResponseOutcome(label, Optional.empty());
    }

    private static ResponseOutcome violated(String label, ResponseViolation violation) {
        return new ResponseOutcome(label, Optional.of(violation));
    }

    /** Returns whether the client received a complete response, or a rejection that it may repeat. */
    boolean isCompleteOrRejected() {
        return label.equals(COMPLETE) || label.startsWith("503");
    }
}
