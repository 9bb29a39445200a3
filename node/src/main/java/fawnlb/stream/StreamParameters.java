package fawnlb.stream;

import fawnlb.decision.EndpointId;

/**
 * What is known of an attempt's stream when the attempt begins.
 *
 * @param backendId the endpoint's id in the endpoint list
 * @param promptTokens tokens of the prompt as the client estimates them, 0 if it does not
 * @param responseDeadlineNanos when the response must have begun
 * @param retryPossible whether another attempt could follow, so that ending this one early can gain something
 * @param isEventStream whether the response is a stream of events; otherwise it comes in one piece when it is complete,
 *     and silences before that say nothing
 */
public record StreamParameters(
        EndpointId backendId,
        double promptTokens,
        long responseDeadlineNanos,
        boolean retryPossible,
        boolean isEventStream) {}
