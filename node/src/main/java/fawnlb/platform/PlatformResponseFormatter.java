package fawnlb.platform;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.FixedResponse;
import fawnlb.client.ResponseFormatter;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.stream.AttemptEnd;
import io.undertow.util.StatusCodes;

/**
 * Formats the responses to one request in the platform's protocol.
 *
 * @param responseSummary what a backend's response has shown so far
 */
@EventLoopOnly
record PlatformResponseFormatter(OutboundRequest.ResponseSummary responseSummary) implements ResponseFormatter {
    @Override
    public String backendContentType() {
        return responseSummary.status() == StatusCodes.OK ? "text/event-stream" : "application/json";
    }

    @Override
    public int backendStatus() {
        return responseSummary.status();
    }

    @Override
    public FixedResponse formatRejection(AttemptEnd cause) {
        return new FixedResponse(StatusCodes.SERVICE_UNAVAILABLE, "text/plain", "refused; try again later\n");
    }

    @Override
    public FixedResponse formatFailure(AttemptEnd cause) {
        return new FixedResponse(ResponseFormatter.failureStatus(cause), "text/plain", "failed\n");
    }
}
