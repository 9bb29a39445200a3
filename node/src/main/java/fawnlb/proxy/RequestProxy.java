package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Idempotency;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Invariant;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The core: the module's actor and the owner of every flow from taken to its one final answer. It carries out what the
 * module decides and knows nothing of how clients and backends speak.
 */
public final class RequestProxy {
    private static final Logger LOG = Logger.getLogger(RequestProxy.class.getName());
    /** A flow ends so long before its client gives up, for the way back and a late timer. */
    private static final long CLIENT_TIMEOUT_MARGIN_NANOS = 10_000_000;
    /** If the module has no answer by then, the core gives one: a flow is never left open. */
    private static final long FINAL_DEADLINE_DELAY_NANOS = 25_000_000;
    /** A request may have waited unread for so long without anybody counting it. */
    private static final long UNCOUNTED_QUEUE_NANOS = 100_000_000;

    private static final long DEFAULT_RETRY_AFTER_NANOS = 1_000_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    /**
     * A planned end answers by then what has not begun to be answered, in nanoseconds: the operators kill the process
     * 3.7 s after SIGTERM at the soonest, however long the deadlines are.
     */
    static final long SHUTDOWN_ANSWER_DEADLINE_NANOS = 3_200_000_000L;

    private final LoadBalancerSettings settings;
    private final LoadBalancer loadBalancer;
    private final Mailbox mailbox;
    private final Timers timers;
    private final Backends backends;
    private final EndpointWatch endpointWatch;
    private final Map<Long, ProxiedRequest> requests = new HashMap<>();
    private long lastRequestId;
    private long shutdownDeadline = NEVER;
    private volatile int openRequests;
    private volatile boolean admissionStopped;

    public RequestProxy(
            LoadBalancerSettings settings,
            long seed,
            LoadBalancer.Factory loadBalancerFactory,
            Mailbox mailbox,
            Timers timers,
            Backends backends,
            EndpointWatch endpointWatch) {
        this.settings = settings;
        this.mailbox = mailbox;
        this.timers = timers;
        this.backends = backends;
        this.endpointWatch = endpointWatch;
        this.loadBalancer = loadBalancerFactory.create(settings, seed, this::execute);
    }

    /** What a front keeps of a flow that it handed in. */
    public interface RequestHandle {
        /** The client has left; nothing more is owed to it. */
        void onClientDisconnected();
    }

    private static final class ProxiedRequest {
        final long id;
        final IncomingRequest incoming;
        final ClientConnection client;
        final long deadline;
        Timers.Timer finalDeadlineTimer;
        boolean answered;
        int attemptCount;
        AttemptEnd lastAttemptEnd;
        ActiveAttempt activeAttempt;
        /** When the first attempt that may have run was sent. */
        long firstPossibleExecutionAt = NEVER;

        ProxiedRequest(long id, IncomingRequest incoming, ClientConnection client, long deadline) {
            this.id = id;
            this.incoming = incoming;
            this.client = client;
            this.deadline = deadline;
        }
    }

    /** The one attempt of a flow that is out. */
    private static final class ActiveAttempt {
        final int number;
        final long backend;
        final long startedAt;
        Backends.Attempt backendAttempt;
        Timers.Timer responseTimeoutTimer;
        boolean responseStarted;
        boolean clientError;
        boolean clientStalled;

        ActiveAttempt(int number, long backend, long startedAt) {
            this.number = number;
            this.backend = backend;
            this.startedAt = startedAt;
        }
    }

    /** Flows without their final answer or with an attempt still out. */
    public int openRequests() {
        return openRequests;
    }

    /** The process is to end: what still waits for an answer to begin gets one soon, whatever the backends do. */
    public void beginGracefulShutdown() {
        mailbox.tellAlways(() -> {
            shutdownDeadline = timers.now() + SHUTDOWN_ANSWER_DEADLINE_NANOS;
            requests.values().stream().filter(request -> !request.answered).forEach(request -> {
                request.finalDeadlineTimer.cancel();
                armFinalDeadline(request);
            });
        });
    }

    private void armFinalDeadline(ProxiedRequest request) {
        request.finalDeadlineTimer = timers.schedule(
                Math.min(request.deadline + FINAL_DEADLINE_DELAY_NANOS, shutdownDeadline) - timers.now(),
                () -> mailbox.tellOrFail(() -> onFinalDeadline(request), () -> failUnexpectedly(request)));
    }

    /** From here on no flow is taken: the node ends, and may not be given the time for its stream. */
    public void stopAdmitting() {
        admissionStopped = true;
    }

    /** Takes a flow; null if there is no room for one more, and the front must refuse it. */
    public RequestHandle submit(IncomingRequest incoming, ClientConnection client) {
        // Its time runs from its arrival: on a busy thread it has waited, and a backend must not be told of time that
        // has passed.
        long arrivedAt = timers.now()
                - Math.max(0, Math.max(timers.maxEventAgeNanos(), client.queuedNanos()) - UNCOUNTED_QUEUE_NANOS);
        RequestHandle[] handle = new RequestHandle[1];
        ProxiedRequest[] request = new ProxiedRequest[1];
        boolean accepted = !admissionStopped
                && openRequests < settings.limits().maxInFlightRequests()
                && mailbox.tell(
                        () -> request[0] = openRequest(incoming, client, arrivedAt),
                        () -> failUnexpectedly(requests.get(lastRequestId)));
        handle[0] = () -> mailbox.tellAlways(() -> onClientDisconnected(request[0]));
        return accepted ? handle[0] : null;
    }

    /** News of the list, in the order in which it came. */
    public void onEndpointsUpdated(LoadBalancerEvent.EndpointsUpdated update) {
        mailbox.tellAlways(() -> notifyLoadBalancer(update));
    }

    private void notifyLoadBalancer(LoadBalancerEvent event) {
        loadBalancer.onEvent(timers.now(), event);
    }

    private ProxiedRequest openRequest(IncomingRequest incoming, ClientConnection client, long arrivedAt) {
        long timeoutNanos = Math.max(0, incoming.timeoutNanos() - CLIENT_TIMEOUT_MARGIN_NANOS);
        ProxiedRequest request = new ProxiedRequest(++lastRequestId, incoming, client, arrivedAt + timeoutNanos);
        requests.put(request.id, request);
        openRequests = requests.size();
        armFinalDeadline(request);
        notifyLoadBalancer(new LoadBalancerEvent.RequestArrived(
                request.id,
                incoming.classIndex(),
                incoming.tenantIndex(),
                incoming.sessionKey(),
                incoming.prefixKey(),
                Math.max(0, request.deadline - timers.now()),
                0,
                incoming.promptTokens(),
                incoming.prefixTokens(),
                incoming.maxTokens(),
                false,
                incoming.clientRetry(),
                false));
        return request;
    }

    private void onClientDisconnected(ProxiedRequest request) {
        if (request == null || request.answered && request.activeAttempt == null) {
            return;
        }
        boolean answerPending = !request.answered;
        LOG.fine(() -> describe(request) + ": the client has left" + (answerPending ? ", no answer is owed" : ""));
        markAnswered(request);
        if (answerPending) {
            notifyLoadBalancer(new LoadBalancerEvent.ClientDisconnected(request.id));
        }
        stopAttempt(request, EndReason.CLIENT_DISCONNECTED);
    }

    private void onFinalDeadline(ProxiedRequest request) {
        if (!request.answered) {
            LOG.warning(describe(request)
                    + (timers.now() < shutdownDeadline
                            ? " had no answer at its deadline"
                            : " is answered since the process ends")
                    + ", after " + request.attemptCount + " attempt(s)"
                    + (request.activeAttempt == null ? "" : ", one of them still out"));
            boolean rejectable = requestClass(request)
                    .isRejectable(request.activeAttempt != null || request.firstPossibleExecutionAt != NEVER);
            answerOnce(request, () -> {
                if (rejectable) {
                    request.client.sendRejection(request.lastAttemptEnd, effectiveRetryAfterNanos(0));
                } else {
                    request.client.sendFailure(request.lastAttemptEnd);
                }
            });
            notifyLoadBalancer(new LoadBalancerEvent.ClientDisconnected(request.id));
        }
    }

    /** Something threw that nobody expected while this flow was dealt with: it is answered, and no other is held up. */
    private void failUnexpectedly(ProxiedRequest request) {
        answerOnce(request, () -> request.client.sendFailure(request.lastAttemptEnd));
    }

    /** Gives the final answer, unless it has been given, and ends what is still out. */
    private void answerOnce(ProxiedRequest request, Runnable answer) {
        if (request == null || request.answered) {
            return;
        }
        markAnswered(request);
        answer.run();
        stopAttempt(request, EndReason.CANCELLED);
    }

    private void markAnswered(ProxiedRequest request) {
        request.answered = true;
        request.finalDeadlineTimer.cancel();
        removeIfFinished(request);
    }

    private void removeIfFinished(ProxiedRequest request) {
        if (request.answered && request.activeAttempt == null) {
            requests.remove(request.id);
            openRequests = requests.size();
        }
    }

    private void stopAttempt(ProxiedRequest request, EndReason reason) {
        if (request.activeAttempt != null && request.activeAttempt.backendAttempt != null) {
            request.activeAttempt.backendAttempt.stop(reason);
        }
    }

    private long effectiveRetryAfterNanos(long advisedNanos) {
        long configuredNanos =
                advisedNanos > 0 ? advisedNanos : settings.limits().maxRetryAfterNanos();
        return configuredNanos > 0 ? configuredNanos : DEFAULT_RETRY_AFTER_NANOS;
    }

    // ---- What the module asks for ---------------------------------------------------------------------

    private void execute(LoadBalancerAction action) {
        if (action instanceof LoadBalancerAction.StartAttempt a) {
            startAttempt(a);
        } else if (action instanceof LoadBalancerAction.CancelAttempt a) {
            ProxiedRequest request = requests.get(a.requestId());
            if (request != null
                    && request.activeAttempt != null
                    && request.activeAttempt.number == a.attempt()
                    && !request.activeAttempt.responseStarted) {
                stopAttempt(request, EndReason.CANCELLED);
            }
        } else if (action instanceof LoadBalancerAction.RejectRequest a) {
            rejectRequest(requests.get(a.requestId()), a.retryAfterNanos());
        } else if (action instanceof LoadBalancerAction.FailRequest a) {
            ProxiedRequest request = requests.get(a.requestId());
            answerOnce(request, () -> request.client.sendFailure(request.lastAttemptEnd));
        } else if (action instanceof LoadBalancerAction.SetTimer a) {
            timers.schedule(
                    a.dueAt() - timers.now(),
                    () -> mailbox.tellAlways(() -> notifyLoadBalancer(new LoadBalancerEvent.TimerFired(a.token()))));
        } else if (action instanceof LoadBalancerAction.WatchEndpoints) {
            endpointWatch.watchEndpoints();
        } else if (action instanceof LoadBalancerAction.FetchEndpoints) {
            endpointWatch.fetchEndpoints();
        } else if (action instanceof LoadBalancerAction.CheckHealth a) {
            long startedAt = timers.now();
            backends.checkHealth(
                    a.endpointId(),
                    (outcome, loadReport) ->
                            mailbox.tellAlways(() -> notifyLoadBalancer(new LoadBalancerEvent.HealthChecked(
                                    a.endpointId(), outcome, timers.now() - startedAt, loadReport))));
        } else if (action instanceof LoadBalancerAction.Log a) {
            LOG.info(a.text());
        }
    }

    /** Refuses the flow where that promises no more than its class allows, and fails it otherwise. */
    private void rejectRequest(ProxiedRequest request, long retryAfterNanos) {
        if (request == null || request.answered) {
            return;
        }
        boolean mayHaveRun = request.activeAttempt != null || request.firstPossibleExecutionAt != NEVER;
        if (Invariant.REPEATED_AS_EFFECT_ALLOWS.check(
                requestClass(request).isRejectable(mayHaveRun),
                () -> describe(request),
                "refused after it may have run")) {
            answerOnce(
                    request,
                    () -> request.client.sendRejection(
                            request.lastAttemptEnd, effectiveRetryAfterNanos(retryAfterNanos)));
        } else {
            answerOnce(request, () -> request.client.sendFailure(request.lastAttemptEnd));
        }
    }

    private static String describe(ProxiedRequest request) {
        return "request "
                + (request.incoming.payload() == null
                        ? ""
                        : request.incoming.payload().requestId()) + " (flow " + request.id + ')';
    }

    private void startAttempt(LoadBalancerAction.StartAttempt action) {
        ProxiedRequest request = requests.get(action.requestId());
        // Never an attempt for a flow that is over, a second one beside another, or one more than allowed.
        if (request == null
                || request.answered
                || request.activeAttempt != null
                || request.attemptCount >= settings.limits().maxAttempts()) {
            Invariant.ONE_ATTEMPT_AT_A_TIME.check(
                    request == null || request.answered || request.activeAttempt == null,
                    () -> describe(request),
                    "another attempt was asked for while one is out");
            int number = request == null ? 0 : request.attemptCount++;
            boolean alreadyAnswered = request == null || request.answered;
            mailbox.tellAlways(() -> notifyLoadBalancer(new LoadBalancerEvent.AttemptEnded(
                    action.requestId(),
                    number,
                    action.endpointId(),
                    AttemptOutcome.NEVER_SENT,
                    alreadyAnswered,
                    0,
                    0,
                    List.of())));
            return;
        }
        long now = timers.now();
        long responseDeadline =
                action.deadline() > 0 ? Math.min(action.deadline(), request.deadline) : request.deadline;
        ActiveAttempt attempt = new ActiveAttempt(request.attemptCount++, action.endpointId(), now);
        LOG.fine(() -> describe(request) + ": attempt " + attempt.number + " to backend " + attempt.backend
                + ", given up in " + (responseDeadline - now) / NANOS_PER_MILLISECOND + " ms");
        request.activeAttempt = attempt;
        attempt.responseTimeoutTimer = timers.schedule(
                responseDeadline - now,
                () -> mailbox.tellAlways(() -> {
                    if (request.activeAttempt == attempt && !attempt.responseStarted) {
                        stopAttempt(request, EndReason.TIMED_OUT);
                    }
                }));
        boolean retryPossible = requestClass(request).idempotency() == Idempotency.IDEMPOTENT
                && request.attemptCount < settings.limits().maxAttempts();
        attempt.backendAttempt = backends.startAttempt(
                action.endpointId(),
                request.incoming,
                responseDeadline,
                sendDeadline(request),
                retryPossible,
                new MailboxAttemptListener(request, attempt));
    }

    /** What becomes of one attempt, handed on to the core's mailbox. */
    private final class MailboxAttemptListener implements Backends.AttemptListener {
        private final ProxiedRequest request;
        private final ActiveAttempt attempt;

        MailboxAttemptListener(ProxiedRequest request, ActiveAttempt attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        @Override
        public boolean isStillWanted() {
            return !request.answered && request.client.isConnected();
        }

        @Override
        public void onResponseStarted(ResponseSource source) {
            mailbox.tellOrFail(
                    () -> RequestProxy.this.onResponseStarted(request, attempt, source),
                    () -> failUnexpectedly(request));
        }

        @Override
        public void onClientErrorResponse(ResponseSource source) {
            mailbox.tellOrFail(
                    () -> RequestProxy.this.onClientErrorResponse(request, attempt, source),
                    () -> failUnexpectedly(request));
        }

        @Override
        public void onClientStalled() {
            mailbox.tell(() -> RequestProxy.this.onClientStalled(request, attempt), () -> failUnexpectedly(request));
        }

        @Override
        public void onAttemptEnded(AttemptEnd end, long cachedTokens, List<Double> loadReport) {
            mailbox.tellOrFail(
                    () -> RequestProxy.this.onAttemptEnded(request, attempt, end, cachedTokens, loadReport),
                    () -> failUnexpectedly(request));
        }
    }

    private LoadBalancerSettings.RequestClass requestClass(ProxiedRequest request) {
        return settings.requestClass(request.incoming.classIndex());
    }

    /** A connect takes its time: a repeat that was decided within the window of a keyed class may be sent behind it. */
    private long sendDeadline(ProxiedRequest request) {
        LoadBalancerSettings.RequestClass requestClass = requestClass(request);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT || request.firstPossibleExecutionAt == NEVER
                ? NEVER
                : request.firstPossibleExecutionAt
                        + requestClass.idempotencyWindowNanos()
                        - Backends.MAX_PROCESS_STALL_NANOS;
    }

    // ---- What becomes of attempts ---------------------------------------------------------------------

    private void onResponseStarted(ProxiedRequest request, ActiveAttempt attempt, ResponseSource source) {
        if (request.activeAttempt != attempt || request.answered) {
            return;
        }
        attempt.responseStarted = true;
        attempt.responseTimeoutTimer.cancel();
        request.answered = true;
        request.finalDeadlineTimer.cancel();
        request.client.streamResponse(source);
        notifyLoadBalancer(new LoadBalancerEvent.ResponseStarted(
                request.id, attempt.number, attempt.backend, timers.now() - attempt.startedAt));
    }

    /** Neither the backend's merit nor its failure: to the module, the client has taken its request back. */
    private void onClientErrorResponse(ProxiedRequest request, ActiveAttempt attempt, ResponseSource source) {
        if (request.activeAttempt != attempt || request.answered) {
            return;
        }
        attempt.responseStarted = true;
        attempt.clientError = true;
        attempt.responseTimeoutTimer.cancel();
        request.answered = true;
        request.finalDeadlineTimer.cancel();
        request.client.streamResponse(source);
        notifyLoadBalancer(new LoadBalancerEvent.ClientDisconnected(request.id));
    }

    /**
     * To the module the client has taken its request back: it counts requests in flight as work, and hundreds of
     * readers that have stopped would hide from it what is. How the stream ends says nothing of its backend either.
     */
    private void onClientStalled(ProxiedRequest request, ActiveAttempt attempt) {
        if (request.activeAttempt == attempt
                && attempt.responseStarted
                && !attempt.clientError
                && !attempt.clientStalled) {
            attempt.clientStalled = true;
            notifyLoadBalancer(new LoadBalancerEvent.AttemptEnded(
                    request.id,
                    attempt.number,
                    attempt.backend,
                    AttemptOutcome.CANCELLED,
                    true,
                    timers.now() - attempt.startedAt,
                    0,
                    List.of()));
        }
    }

    private void onAttemptEnded(
            ProxiedRequest request, ActiveAttempt attempt, AttemptEnd end, long cachedTokens, List<Double> loadReport) {
        if (request.activeAttempt != attempt) {
            return;
        }
        LOG.fine(() -> describe(request) + ": attempt " + attempt.number + " ended " + end.label());
        request.activeAttempt = null;
        request.lastAttemptEnd = end;
        request.firstPossibleExecutionAt = end.outcome().mayHaveRun()
                ? Math.min(request.firstPossibleExecutionAt, attempt.startedAt)
                : request.firstPossibleExecutionAt;
        attempt.responseTimeoutTimer.cancel();
        boolean alreadyAnswered = request.answered;
        removeIfFinished(request);
        if (attempt.clientStalled) {
            return;
        }
        AttemptOutcome reportedOutcome = attempt.clientError ? AttemptOutcome.CANCELLED : end.outcome();
        notifyLoadBalancer(new LoadBalancerEvent.AttemptEnded(
                request.id,
                attempt.number,
                attempt.backend,
                reportedOutcome,
                alreadyAnswered,
                timers.now() - attempt.startedAt,
                cachedTokens,
                loadReport));
    }
}
