package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.stream.AttemptEnd;
import io.undertow.util.StatusCodes;

/** Formats the responses to one request in the client's protocol, and is notified of the end of its exchange. */
@EventLoopOnly
public interface ResponseFormatter {
    /** The content type of a backend's response. */
    String backendContentType();

    /** The status of a backend's response. */
    default int backendStatus() {
        return StatusCodes.OK;
    }

    /**
     * Formats the response to a request that was rejected, and that the client may retry.
     *
     * @param cause how the last attempt ended, null if there was none
     */
    FixedResponse formatRejection(AttemptEnd cause);

    /**
     * Formats the response to a request that failed.
     *
     * @param cause how the last attempt ended, null if there was none
     */
    FixedResponse formatFailure(AttemptEnd cause);

    /**
     * The status of a request that failed: 504 if its last attempt timed out, and 502 otherwise.
     *
     * @param cause how the last attempt ended, null if there was none
     */
    static int failureStatus(AttemptEnd cause) {
        return cause != null && cause.isTimeout() ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    }

    /**
     * Formats the event with which a stream that broke off ends. Empty if the protocol has no such event.
     *
     * @param cause how the attempt ended
     */
    default String formatStreamError(AttemptEnd cause) {
        return "";
    }

    /**
     * Called once, at the end of the exchange.
     *
     * @param status the status of the response, 0 if none was sent
     * @param cause how the last attempt ended, null if it succeeded or there was none
     */
    default void onExchangeFinished(ClientOutcome outcome, int status, AttemptEnd cause) {}
}
