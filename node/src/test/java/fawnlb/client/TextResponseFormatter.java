package fawnlb.client;

import fawnlb.stream.AttemptEnd;

/** Formats every response as plain text. */
class TextResponseFormatter implements ResponseFormatter {
    @Override
    public String backendContentType() {
        return "text/plain";
    }

    @Override
    public FixedResponse formatRejection(AttemptEnd cause) {
        return new FixedResponse(503, "text/plain", "no\n");
    }

    @Override
    public FixedResponse formatFailure(AttemptEnd cause) {
        return formatRejection(cause);
    }
}
