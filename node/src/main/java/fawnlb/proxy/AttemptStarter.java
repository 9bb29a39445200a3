package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Idempotency;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Invariant;
import fawnlb.stream.EndReason;
import java.util.List;
import java.util.Optional;
import java.util.logging.Logger;

/**
 * Starts the attempts that the load balancer asks for, unless something stands in their way, and limits the wait for
 * their responses.
 */
@EventLoopOnly
final class AttemptStarter {
    private static final Logger LOG = Logger.getLogger(AttemptStarter.class.getName());
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final ProxyContext context;
    private final Timers timers;
    private final Backends backends;
    private final AttemptTracker tracker;
    private final LoadBalancerNotifier notifier;

    AttemptStarter(ProxyContext context, Backends backends, AttemptTracker tracker, LoadBalancerNotifier notifier) {
        this.context = context;
        this.timers = context.timers();
        this.backends = backends;
        this.tracker = tracker;
        this.notifier = notifier;
    }

    /**
     * Starts an attempt, or reports that it was never sent.
     *
     * @param request the request that the action names, {@code null} if it is no longer open
     */
    void start(LoadBalancerAction.StartAttempt action, ProxiedRequest request) {
        Optional<AttemptObstacle> obstacle = findObstacle(request);
        if (obstacle.isEmpty()) {
            sendToBackend(action, request);
            return;
        }
        Invariant.ONE_ATTEMPT_AT_A_TIME.check(
                obstacle.get() != AttemptObstacle.ATTEMPT_ACTIVE,
                () -> request.describe(),
                "another attempt was asked for while one is active");
        reportNotSent(action, request);
    }

    /** Returns the first obstacle to another attempt, empty if it may be started. */
    private Optional<AttemptObstacle> findObstacle(ProxiedRequest request) {
        if (request == null) {
            return Optional.of(AttemptObstacle.UNKNOWN_REQUEST);
        }
        if (request.isAnswered()) {
            return Optional.of(AttemptObstacle.ALREADY_ANSWERED);
        }
        if (request.hasActiveAttempt()) {
            return Optional.of(AttemptObstacle.ATTEMPT_ACTIVE);
        }
        return hasAttemptsLeft(request) ? Optional.empty() : Optional.of(AttemptObstacle.ATTEMPT_LIMIT_REACHED);
    }

    private boolean hasAttemptsLeft(ProxiedRequest request) {
        return request.attemptCount() < context.settings().limits().maxAttempts();
    }

    /** The report comes as a message of its own: the load balancer is still in the call that asked for the attempt. */
    private void reportNotSent(LoadBalancerAction.StartAttempt action, ProxiedRequest request) {
        int number = request == null ? 0 : request.skipAttempt();
        boolean answered = request == null || request.isAnswered();
        LoadBalancerEvent.AttemptEnded event = new LoadBalancerEvent.AttemptEnded(
                action.requestId(), number, action.endpointId(), AttemptOutcome.NEVER_SENT, answered, 0, 0, List.of());
        context.mailbox().tellAlways(() -> notifier.report(event));
    }

    private void sendToBackend(LoadBalancerAction.StartAttempt action, ProxiedRequest request) {
        long now = timers.now();
        long responseDeadline =
                action.deadline() > 0 ? Math.min(action.deadline(), request.deadline()) : request.deadline();
        ActiveAttempt attempt = request.startAttempt(action.endpointId(), now);
        LOG.fine(() -> attempt.logLine("attempt started", request)
                .with("timeout_ms", (responseDeadline - now) / NANOS_PER_MILLISECOND)
                .toString());
        attempt.setResponseTimer(timers.schedule(
                responseDeadline - now, () -> context.mailbox().tellAlways(() -> onResponseTimeout(request, attempt))));
        attempt.setHandle(backends.startAttempt(
                action.endpointId(),
                request.incoming(),
                responseDeadline,
                sendDeadline(request),
                isRetryPossible(request),
                tracker.listenerFor(request, attempt)));
    }

    private void onResponseTimeout(ProxiedRequest request, ActiveAttempt attempt) {
        if (request.isActive(attempt) && !attempt.hasResponseStarted()) {
            attempt.stop(EndReason.TIMED_OUT);
        }
    }

    private boolean isRetryPossible(ProxiedRequest request) {
        return context.requestClass(request).idempotency() == Idempotency.IDEMPOTENT && hasAttemptsLeft(request);
    }

    /**
     * When the request must have been written at the latest, in nanoseconds on the clock of {@link Timers}. A retry
     * under an idempotency key is safe only within the key's window, and connecting to the backend takes a part of it.
     */
    private long sendDeadline(ProxiedRequest request) {
        LoadBalancerSettings.RequestClass requestClass = context.requestClass(request);
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT || !request.hasPossibleExecution()) {
            return NO_DEADLINE;
        }
        return request.firstPossibleExecutionAt()
                + requestClass.idempotencyWindowNanos()
                - Backends.MAX_PROCESS_STALL_NANOS;
    }
}
