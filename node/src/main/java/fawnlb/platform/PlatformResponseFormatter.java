package fawnlb.platform;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.FixedResponse;
import fawnlb.client.ResponseFormatter;
import fawnlb.stream.AttemptEnd;
import io.undertow.util.StatusCodes;

/** The platform's words for one flow's answers. */
record PlatformResponseFormatter(OutboundRequest.ResponseSummary tally) implements ResponseFormatter {
    @Override
    public String backendContentType() {
        return tally.status() == StatusCodes.OK ? "text/event-stream" : "application/json";
    }

    @Override
    public int backendStatus() {
        return tally.status();
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
