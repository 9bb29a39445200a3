package fawnlb.proxy;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.util.logging.Logger;

/**
 * Answers each request that the load balancer has not answered by its deadline, so that no client waits without end.
 */
@EventLoopOnly
final class FinalDeadlines {
    /**
     * How long after the start of the graceful shutdown every request is answered whose response has not begun. The
     * operators kill the process 3.7 s after SIGTERM at the soonest, however long the requests' own deadlines are.
     */
    static final long SHUTDOWN_ANSWER_DEADLINE_NANOS = 3_200_000_000L;
    /** How long the load balancer may be late with its own answer at the deadline before this one is given. */
    private static final long DELAY_NANOS = 25_000_000;

    private static final long NO_SHUTDOWN = Long.MAX_VALUE;
    private static final Logger LOG = Logger.getLogger(FinalDeadlines.class.getName());

    private final Timers timers;
    private final Mailbox mailbox;
    private final FinalAnswers answers;
    private final LoadBalancerNotifier notifier;
    private long shutdownDeadline = NO_SHUTDOWN;

    FinalDeadlines(ProxyContext context, FinalAnswers answers, LoadBalancerNotifier notifier) {
        this.timers = context.timers();
        this.mailbox = context.mailbox();
        this.answers = answers;
        this.notifier = notifier;
    }

    /** Brings the final deadline of all requests forward, of those that are open and of those to come. */
    void beginShutdown(OpenRequests openRequests) {
        shutdownDeadline = timers.now() + SHUTDOWN_ANSWER_DEADLINE_NANOS;
        openRequests.unanswered().forEach(this::arm);
    }

    /** Sets the request's timer, in place of an earlier one. */
    void arm(ProxiedRequest request) {
        long delayNanos = Math.min(request.deadline() + DELAY_NANOS, shutdownDeadline) - timers.now();
        request.setFinalDeadlineTimer(timers.schedule(
                delayNanos, () -> mailbox.tellOrFail(() -> onFinalDeadline(request), () -> answers.fail(request))));
    }

    private void onFinalDeadline(ProxiedRequest request) {
        if (request.isAnswered()) {
            return;
        }
        boolean shutdown = timers.now() >= shutdownDeadline;
        // The lab's soak report and the operators' pages search the log for the words "had no answer at its deadline".
        LogLine line = request.logLine(
                shutdown ? "request answered at the shutdown deadline" : "request had no answer at its deadline");
        LOG.warning(line.with("attempts", request.attemptCount())
                .with("active_attempts", request.hasActiveAttempt() ? 1 : 0)
                .toString());
        answers.rejectOrFail(request);
        notifier.clientDisconnected(request);
    }
}
