package fawnlb.messages;

import fawnlb.backend.OutboundRequest.ResponseSummary;
import fawnlb.client.ClientOutcome;
import fawnlb.stream.AttemptEnd;

/**
 * How a request ended, for the log.
 *
 * @param outcome the word for the outcome in the record
 * @param status the HTTP status that the client got, 0 if it got none
 * @param cause the end of the last attempt, null if there was none or if it succeeded
 * @param response what is known of the backend's response, null if no attempt was made
 */
record RequestEnd(String outcome, int status, AttemptEnd cause, ResponseSummary response) {
    /** The request was found invalid or not allowed, by this process or by a backend. */
    static final String REJECTED = "rejected";

    /** Returns the end of a request that was rejected before any attempt. */
    static RequestEnd rejected(int status) {
        return new RequestEnd(REJECTED, status, null, null);
    }

    boolean isServed() {
        return outcome.equals(ClientOutcome.COMPLETED.label());
    }
}
