package fawnlb.backend;

/**
 * What is to be sent in one attempt, and until when.
 *
 * @param promptTokens tokens of the prompt as the client estimates them, 0 if it does not
 * @param responseDeadlineNanos when the response must have begun, in nanoseconds on the instance's clock
 * @param sendDeadlineNanos the request is not sent at this time or later, in nanoseconds on the instance's clock
 * @param retryPossible whether another attempt could follow, so that ending this one early can gain something
 */
record AttemptParameters(
        OutboundRequest request,
        double promptTokens,
        long responseDeadlineNanos,
        long sendDeadlineNanos,
        boolean retryPossible) {}
