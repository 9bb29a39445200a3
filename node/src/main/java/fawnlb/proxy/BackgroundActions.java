package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import java.util.List;

/**
 * Carries out those of the load balancer's actions that concern no request: timers, health checks and the endpoint
 * list.
 */
@EventLoopOnly
final class BackgroundActions {
    private final ProxyContext context;
    private final Timers timers;
    private final Backends backends;
    private final EndpointWatch endpointWatch;
    private final LoadBalancerNotifier notifier;

    BackgroundActions(
            ProxyContext context, Backends backends, EndpointWatch endpointWatch, LoadBalancerNotifier notifier) {
        this.context = context;
        this.timers = context.timers();
        this.backends = backends;
        this.endpointWatch = endpointWatch;
        this.notifier = notifier;
    }

    void watchEndpoints() {
        endpointWatch.watchEndpoints();
    }

    void fetchEndpoints() {
        endpointWatch.fetchEndpoints();
    }

    void setTimer(LoadBalancerAction.SetTimer action) {
        LoadBalancerEvent fired = new LoadBalancerEvent.TimerFired(action.token());
        timers.schedule(
                action.dueAt() - timers.now(), () -> context.mailbox().tellAlways(() -> notifier.report(fired)));
    }

    void checkHealth(LoadBalancerAction.CheckHealth action) {
        EndpointId endpointId = action.endpointId();
        long startedAt = timers.now();
        backends.checkHealth(
                endpointId,
                (outcome, loadReport) -> context.mailbox()
                        .tellAlways(() -> onHealthChecked(endpointId, startedAt, outcome, loadReport)));
    }

    private void onHealthChecked(
            EndpointId endpointId, long startedAt, AttemptOutcome outcome, List<Double> loadReport) {
        notifier.report(new LoadBalancerEvent.HealthChecked(endpointId, outcome, timers.now() - startedAt, loadReport));
    }
}
