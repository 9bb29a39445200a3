package fawnlb.proxy;

import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.stream.EndReason;
import java.util.logging.Logger;

/** Carries out the load balancer's actions, each at once and in the order in which they come. */
@EventLoopOnly
final class ActionExecutor implements LoadBalancer.ActionSink {
    private static final Logger LOG = Logger.getLogger(ActionExecutor.class.getName());

    private final OpenRequests openRequests;
    private final FinalAnswers answers;
    private final AttemptStarter attemptStarter;
    private final BackgroundActions backgroundActions;

    ActionExecutor(
            OpenRequests openRequests,
            FinalAnswers answers,
            AttemptStarter attemptStarter,
            BackgroundActions backgroundActions) {
        this.openRequests = openRequests;
        this.answers = answers;
        this.attemptStarter = attemptStarter;
        this.backgroundActions = backgroundActions;
    }

    @Override
    public void perform(LoadBalancerAction action) {
        if (action instanceof LoadBalancerAction.StartAttempt start) {
            attemptStarter.start(start, openRequests.find(start.requestId()));
        } else if (action instanceof LoadBalancerAction.CancelAttempt cancel) {
            cancelAttempt(cancel);
        } else if (action instanceof LoadBalancerAction.RejectRequest reject) {
            answers.reject(openRequests.find(reject.requestId()), reject.retryAfterNanos());
        } else if (action instanceof LoadBalancerAction.FailRequest fail) {
            answers.fail(openRequests.find(fail.requestId()));
        } else if (action instanceof LoadBalancerAction.SetTimer timer) {
            backgroundActions.setTimer(timer);
        } else if (action instanceof LoadBalancerAction.WatchEndpoints) {
            backgroundActions.watchEndpoints();
        } else if (action instanceof LoadBalancerAction.FetchEndpoints) {
            backgroundActions.fetchEndpoints();
        } else if (action instanceof LoadBalancerAction.CheckHealth check) {
            backgroundActions.checkHealth(check);
        } else if (action instanceof LoadBalancerAction.Log log) {
            LOG.info(log.text());
        }
    }

    /** An attempt whose response has begun belongs to its client and goes on. */
    private void cancelAttempt(LoadBalancerAction.CancelAttempt action) {
        ProxiedRequest request = openRequests.find(action.requestId());
        if (request == null || !request.hasActiveAttempt()) {
            return;
        }
        ActiveAttempt attempt = request.activeAttempt();
        if (attempt.number() == action.attempt() && !attempt.hasResponseStarted()) {
            attempt.stop(EndReason.CANCELLED);
        }
    }
}
