package fawnlb.client;

import fawnlb.stream.AttemptEnd;
import io.undertow.util.StatusCodes;

/** How a front words its answers, and what it wants to hear at the end of each. */
public interface ResponseFormatter {
    /** The content type of an answer that a backend gave. */
    String backendContentType();

    /** The status of an answer that a backend gave. */
    default int backendStatus() {
        return 200;
    }

    FixedResponse formatRejection(AttemptEnd cause);

    FixedResponse formatFailure(AttemptEnd cause);

    /** The status of a flow that failed: whether its last attempt said nothing in time, or something wrong. */
    static int failureStatus(AttemptEnd cause) {
        return cause != null && cause.isTimeout() ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    }

    /**
     * What a stream that breaks is closed with, in place of its last events; empty where the interface has no words for
     * it.
     */
    default String formatStreamError(AttemptEnd cause) {
        return "";
    }

    /** Told once, for a front that keeps records; status 0 if none was sent. */
    default void onExchangeFinished(ClientOutcome outcome, int status, AttemptEnd cause) {}
}
