package fawnlb.messages;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.ClientOutcome;
import fawnlb.client.FixedResponse;
import fawnlb.client.ResponseFormatter;
import fawnlb.eventloop.Timers;
import fawnlb.stream.AttemptEnd;
import fawnlb.translation.ErrorBody;
import io.undertow.util.StatusCodes;
import java.util.function.LongConsumer;

/** The broker's words for one flow's answers, its record and its budget at the end. */
final class BrokerResponseFormatter implements ResponseFormatter {
    private final RequestRecord record;
    private final boolean streaming;
    private final OutboundRequest.ResponseSummary responseSummary;
    private final RequestLog requestLog;
    private final Timers timers;
    private final LongConsumer budgetSettlement;

    /** Settle: told the tokens that the flow took, below 0 if nobody knows. */
    BrokerResponseFormatter(
            RequestRecord record,
            boolean streaming,
            OutboundRequest.ResponseSummary responseSummary,
            RequestLog requestLog,
            Timers timers,
            LongConsumer budgetSettlement) {
        this.record = record;
        this.streaming = streaming;
        this.responseSummary = responseSummary;
        this.requestLog = requestLog;
        this.timers = timers;
        this.budgetSettlement = budgetSettlement;
    }

    @Override
    public String backendContentType() {
        return streaming && responseSummary.status() == StatusCodes.OK ? "text/event-stream" : "application/json";
    }

    @Override
    public int backendStatus() {
        return responseSummary.status();
    }

    @Override
    public FixedResponse formatRejection(AttemptEnd cause) {
        return errorResponse(
                StatusCodes.SERVICE_UNAVAILABLE,
                cause == null
                        ? "no room at the moment; try again later"
                        : "not served (" + cause.label() + "); try again later");
    }

    @Override
    public FixedResponse formatFailure(AttemptEnd cause) {
        return errorResponse(
                ResponseFormatter.failureStatus(cause), cause == null ? "failed" : "failed (" + cause.label() + ")");
    }

    @Override
    public String formatStreamError(AttemptEnd cause) {
        // Behind the last event there is nothing to add: the client has its answer.
        return streaming && responseSummary.status() == StatusCodes.OK && !responseSummary.hasFinished()
                ? ErrorBody.streamEvent(
                        record.dialect(), StatusCodes.BAD_GATEWAY, "the answer broke off (" + cause.label() + ")")
                : "";
    }

    private FixedResponse errorResponse(int status, String text) {
        return new FixedResponse(status, "application/json", ErrorBody.json(record.dialect(), status, text));
    }

    @Override
    public void onExchangeFinished(ClientOutcome end, int status, AttemptEnd cause) {
        // Nothing was made for a fixed response; a broken or left stream may have cost all that was booked.
        boolean rejected = responseSummary.status() != StatusCodes.OK;
        boolean tokenless = rejected || end == ClientOutcome.REJECTED || end == ClientOutcome.FAILED;
        budgetSettlement.accept(tokenless ? 0 : responseSummary.tokens() > 0 ? responseSummary.tokens() : -1);
        requestLog.write(record, rejected ? "rejected" : end.label(), status, cause, responseSummary, timers.now());
    }
}
