package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.stream.AttemptEnd;
import java.util.List;
import java.util.logging.Logger;

/**
 * Takes what backends report of attempts, through the proxy's mailbox, and passes it on to the client and the load
 * balancer.
 */
@EventLoopOnly
final class AttemptTracker {
    private static final Logger LOG = Logger.getLogger(AttemptTracker.class.getName());

    private final Mailbox mailbox;
    private final OpenRequests openRequests;
    private final FinalAnswers answers;
    private final LoadBalancerNotifier notifier;

    AttemptTracker(Mailbox mailbox, OpenRequests openRequests, FinalAnswers answers, LoadBalancerNotifier notifier) {
        this.mailbox = mailbox;
        this.openRequests = openRequests;
        this.answers = answers;
        this.notifier = notifier;
    }

    /** The listener for an attempt that is about to be started. */
    Backends.AttemptListener listenerFor(ProxiedRequest request, ActiveAttempt attempt) {
        return new MailboxAttemptListener(request, attempt);
    }

    /** Hands each report to the mailbox. A request whose report can't be handled fails at once. */
    private final class MailboxAttemptListener implements Backends.AttemptListener {
        private final ProxiedRequest request;
        private final ActiveAttempt attempt;

        MailboxAttemptListener(ProxiedRequest request, ActiveAttempt attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        @Override
        public boolean isStillWanted() {
            return !request.isAnswered() && request.client().isConnected();
        }

        @Override
        public void onResponseStarted(ResponseSource source) {
            tellOrFail(() -> startResponse(request, attempt, source));
        }

        @Override
        public void onClientErrorResponse(ResponseSource source) {
            tellOrFail(() -> startClientErrorResponse(request, attempt, source));
        }

        @Override
        public void onClientStalled() {
            // A full mailbox may drop this one: nobody waits for it.
            mailbox.tell(() -> stallClient(request, attempt), () -> answers.fail(request));
        }

        @Override
        public void onAttemptEnded(AttemptEnd end, long cachedTokens, List<Double> loadReport) {
            AttemptResult result = new AttemptResult(end.outcome(), cachedTokens, loadReport);
            tellOrFail(() -> endAttempt(request, attempt, end, result));
        }

        private void tellOrFail(Runnable message) {
            mailbox.tellOrFail(message, () -> answers.fail(request));
        }
    }

    private void startResponse(ProxiedRequest request, ActiveAttempt attempt, ResponseSource source) {
        if (canStartResponse(request, attempt)) {
            attempt.startResponse();
            request.startResponse();
            request.client().streamResponse(source);
            notifier.responseStarted(request, attempt);
        }
    }

    /**
     * The response says nothing of the backend, neither that it is fast nor that it fails, so to the load balancer the
     * client has withdrawn its request.
     */
    private void startClientErrorResponse(ProxiedRequest request, ActiveAttempt attempt, ResponseSource source) {
        if (canStartResponse(request, attempt)) {
            attempt.startClientErrorResponse();
            request.startResponse();
            request.client().streamResponse(source);
            notifier.clientDisconnected(request);
        }
    }

    private static boolean canStartResponse(ProxiedRequest request, ActiveAttempt attempt) {
        return request.isActive(attempt) && !request.isAnswered();
    }

    /**
     * The load balancer counts active attempts as work of their backends, and the stream of a stalled client is none.
     * So this is reported as a cancelled attempt, and the stream's real end is not reported at all.
     */
    private void stallClient(ProxiedRequest request, ActiveAttempt attempt) {
        if (request.isActive(attempt) && attempt.canStall()) {
            attempt.stallClient();
            notifier.attemptEnded(request, attempt, AttemptResult.of(AttemptOutcome.CANCELLED));
        }
    }

    private void endAttempt(ProxiedRequest request, ActiveAttempt attempt, AttemptEnd end, AttemptResult result) {
        if (!request.isActive(attempt)) {
            return;
        }
        LOG.fine(() ->
                attempt.logLine("attempt ended", request).reason(end.label()).toString());
        request.endAttempt(end);
        openRequests.removeIfFinished(request);
        if (attempt.isClientStalled()) {
            return;
        }
        notifier.attemptEnded(
                request, attempt, attempt.isClientError() ? result.withOutcome(AttemptOutcome.CANCELLED) : result);
    }
}
