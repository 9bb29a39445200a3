package fawnlb.messages;

import fawnlb.backend.OutboundRequest.ResponseSummary;
import fawnlb.client.ClientOutcome;
import fawnlb.client.FixedResponse;
import fawnlb.client.ResponseFormatter;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.stream.AttemptEnd;
import fawnlb.translation.ErrorBody;
import io.undertow.util.StatusCodes;

/**
 * Formats the responses to one request of a team in its client's dialect; logs the request and settles its budget at
 * the end.
 */
@EventLoopOnly
final class BrokerResponseFormatter implements ResponseFormatter {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";

    private final RequestRecord record;
    private final boolean streaming;
    private final ResponseSummary responseSummary;
    private final ReservedBudget budget;
    private final RequestLog requestLog;
    private final Timers timers;

    BrokerResponseFormatter(
            RequestRecord record,
            boolean streaming,
            ResponseSummary responseSummary,
            ReservedBudget budget,
            RequestLog requestLog,
            Timers timers) {
        this.record = record;
        this.streaming = streaming;
        this.responseSummary = responseSummary;
        this.budget = budget;
        this.requestLog = requestLog;
        this.timers = timers;
    }

    @Override
    public String backendContentType() {
        return isStream() ? EVENT_STREAM : JSON;
    }

    @Override
    public int backendStatus() {
        return responseSummary.status();
    }

    /** A backend's error response is one JSON object, also where the client asked for a stream. */
    private boolean isStream() {
        return streaming && responseSummary.status() == StatusCodes.OK;
    }

    @Override
    public FixedResponse formatRejection(AttemptEnd cause) {
        String text = cause == null
                ? "no room at the moment; try again later"
                : "not served (" + cause.label() + "); try again later";
        return errorResponse(record, StatusCodes.SERVICE_UNAVAILABLE, text);
    }

    @Override
    public FixedResponse formatFailure(AttemptEnd cause) {
        String text = cause == null ? "failed" : "failed (" + cause.label() + ")";
        return errorResponse(record, ResponseFormatter.failureStatus(cause), text);
    }

    /** Behind the final event there is nothing to add, because the client has its complete response. */
    @Override
    public String formatStreamError(AttemptEnd cause) {
        if (!isStream() || responseSummary.hasFinished()) {
            return "";
        }
        String text = "the answer broke off (" + cause.label() + ")";
        return ErrorBody.streamEvent(record.dialect(), StatusCodes.BAD_GATEWAY, text);
    }

    /** Returns an error in the dialect of the request's client. */
    static FixedResponse errorResponse(RequestRecord record, int status, String text) {
        return new FixedResponse(status, JSON, ErrorBody.json(record.dialect(), status, text));
    }

    @Override
    public void onExchangeFinished(ClientOutcome outcome, int status, AttemptEnd cause) {
        boolean rejectedByBackend = responseSummary.status() != StatusCodes.OK;
        settleBudget(rejectedByBackend || outcome == ClientOutcome.REJECTED || outcome == ClientOutcome.FAILED);
        String word = rejectedByBackend ? RequestEnd.REJECTED : outcome.label();
        requestLog.write(record, new RequestEnd(word, status, cause, responseSummary), timers.now());
    }

    /** A response that broke off, or whose client left, may have cost all tokens that were reserved. */
    private void settleBudget(boolean nothingGenerated) {
        if (nothingGenerated) {
            budget.release();
        } else if (responseSummary.tokens() > 0) {
            budget.settle(responseSummary.tokens());
        } else {
            budget.chargeInFull();
        }
    }
}
