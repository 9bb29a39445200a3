package fawnlb.proxy;

import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;

/**
 * Tells the load balancer what happened to requests, attempts, endpoints and timers, each with the time of the report.
 */
@EventLoopOnly
final class LoadBalancerNotifier {
    private final Timers timers;
    private LoadBalancer loadBalancer;

    LoadBalancerNotifier(Timers timers) {
        this.timers = timers;
    }

    /**
     * Sets the load balancer; called once, before the first event. It is created with the executor of its actions,
     * which needs this object.
     */
    void connect(LoadBalancer created) {
        loadBalancer = created;
    }

    void requestArrived(ProxiedRequest request) {
        IncomingRequest incoming = request.incoming();
        report(new LoadBalancerEvent.RequestArrived(
                request.id(),
                incoming.classIndex(),
                incoming.tenantIndex(),
                incoming.sessionKey(),
                incoming.prefixKey(),
                Math.max(0, request.deadline() - timers.now()),
                0,
                incoming.promptTokens(),
                incoming.prefixTokens(),
                incoming.maxTokens(),
                false,
                incoming.clientRetry(),
                false));
    }

    void responseStarted(ProxiedRequest request, ActiveAttempt attempt) {
        report(new LoadBalancerEvent.ResponseStarted(
                request.id(), attempt.number(), attempt.endpointId(), timers.now() - attempt.startedAt()));
    }

    void attemptEnded(ProxiedRequest request, ActiveAttempt attempt, AttemptResult result) {
        report(new LoadBalancerEvent.AttemptEnded(
                request.id(),
                attempt.number(),
                attempt.endpointId(),
                result.outcome(),
                request.isAnswered(),
                timers.now() - attempt.startedAt(),
                result.cachedTokens(),
                result.loadReport()));
    }

    void clientDisconnected(ProxiedRequest request) {
        report(new LoadBalancerEvent.ClientDisconnected(request.id()));
    }

    /** Passes on an event that was made elsewhere. */
    void report(LoadBalancerEvent event) {
        loadBalancer.onEvent(timers.now(), event);
    }
}
