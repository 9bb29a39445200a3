package fawnlb.decision;

import java.util.List;

/** What a host tells its load balancer. */
public sealed interface LoadBalancerEvent {

    /**
     * The endpoint list has changed, or could not be obtained.
     *
     * @param version the version of the endpoint list, as discovery numbers it
     * @param endpoints entries as {@link EndpointUpdateKind} says
     */
    record EndpointsUpdated(EndpointUpdateKind kind, long version, List<Endpoint> endpoints)
            implements LoadBalancerEvent {}

    /**
     * A client has sent a request. Its retry by the client is a request of its own. Values that the client did not give
     * are 0.
     *
     * @param classIndex the number of its class, see {@link LoadBalancerSettings#requestClass}
     * @param tenantIndex the number of its tenant in {@link LoadBalancerSettings#tenants}
     * @param sessionKey a hash of the session that it belongs to
     * @param prefixKey a hash of the prefix of its prompt that other requests may share
     * @param timeoutNanos how long the client waits
     * @param workHint a hint on the work, which no decision depends on
     * @param prefixTokens how many of the prompt's tokens belong to the prefix
     * @param maxTokens how many tokens the response may have
     * @param hasHints whether the request came with hints, which no decision depends on
     * @param isRetry whether the client has sent it before
     * @param isResumed whether it resumes an interrupted response, which no decision depends on
     */
    record RequestArrived(
            long requestId,
            int classIndex,
            int tenantIndex,
            long sessionKey,
            long prefixKey,
            long timeoutNanos,
            long workHint,
            double promptTokens,
            double prefixTokens,
            double maxTokens,
            boolean hasHints,
            boolean isRetry,
            boolean isResumed)
            implements LoadBalancerEvent {}

    /**
     * The response to an attempt has started, and is passed on to the client; the request can't be retried anymore.
     *
     * @param elapsedNanos from the start of the attempt to its first token
     */
    record ResponseStarted(long requestId, int attempt, EndpointId endpointId, long elapsedNanos)
            implements LoadBalancerEvent {}

    /**
     * An attempt has ended.
     *
     * @param requestFinished whether the request has its final answer, so that no retry is wanted
     * @param elapsedNanos from the start of the attempt to its end
     * @param cachedPromptTokens tokens of the prompt that the endpoint had cached
     * @param loadReport the endpoint's load in the order of {@link LoadBalancerSettings#loadReportFields}, or empty
     */
    record AttemptEnded(
            long requestId,
            int attempt,
            EndpointId endpointId,
            AttemptOutcome outcome,
            boolean requestFinished,
            long elapsedNanos,
            long cachedPromptTokens,
            List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** The client of a request has disconnected; no answer is wanted. */
    record ClientDisconnected(long requestId) implements LoadBalancerEvent {}

    /**
     * A health check has ended.
     *
     * @param loadReport as in {@link AttemptEnded}
     */
    record HealthChecked(EndpointId endpointId, AttemptOutcome outcome, long elapsedNanos, List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** Another instance has sent a message. */
    record PeerMessage(long fromInstance, byte[] body) implements LoadBalancerEvent {}

    /** A timer that the load balancer set is due. */
    record TimerFired(int token) implements LoadBalancerEvent {}
}
