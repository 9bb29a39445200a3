package fawnlb.decision;

import java.util.List;

/** Anything the router tells the module. */
public sealed interface LoadBalancerEvent {

    /** News of the replica list. */
    record EndpointsUpdated(EndpointUpdateKind kind, long version, List<Endpoint> endpoints)
            implements LoadBalancerEvent {}

    /** A client's request, or its next try under a new id. Absent values are 0. */
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

    /** The answer to an attempt has begun to stream; the client owns the attempt from here. */
    record ResponseStarted(long requestId, int attempt, long endpointId, long elapsedNanos)
            implements LoadBalancerEvent {}

    /**
     * An attempt ended. {@code requestFinished}: the request has its final answer; {@code cachedPromptTokens}: prompt
     * tokens that the replica still held; {@code loadReport}: its load report in the order of the settings, or empty.
     */
    record AttemptEnded(
            long requestId,
            int attempt,
            long endpointId,
            AttemptOutcome outcome,
            boolean requestFinished,
            long elapsedNanos,
            long cachedPromptTokens,
            List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** The client has left; nothing more is owed to it. */
    record ClientDisconnected(long requestId) implements LoadBalancerEvent {}

    /** The result of a probe. */
    record HealthChecked(long endpointId, AttemptOutcome outcome, long elapsedNanos, List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** A message from another router. */
    record PeerMessage(long fromInstance, byte[] body) implements LoadBalancerEvent {}

    /** A timer that the module set has come due. */
    record TimerFired(int token) implements LoadBalancerEvent {}
}
