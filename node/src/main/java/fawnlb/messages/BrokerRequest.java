package fawnlb.messages;

import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.CompletionRequest;

/**
 * A valid request of a team.
 *
 * @param completion what the client asks for
 * @param incoming the request as the proxy takes it
 */
record BrokerRequest(CompletionRequest completion, IncomingRequest incoming) {
    /** Returns the largest number of tokens that the request may cost. */
    long maxTokens() {
        return completion.promptTokens() + completion.sampling().maxTokens();
    }
}
