package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction.CancelAttempt;
import fawnlb.decision.LoadBalancerAction.FailRequest;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerAction.WatchEndpoints;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.ClientDisconnected;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decisions of one instance: consistent hashing with bounded loads, and what departs from it. This class follows
 * each request from its arrival to its final answer and ties together the classes that decide, each on one concern. It
 * has no clock, no threads and no I/O; the host calls it from one thread.
 */
public final class BoundedLoadBalancer implements LoadBalancer {
    private static final int WATCH_TIMER = 0;
    private static final int QUEUE_TIMER = 1;

    private final LoadBalancerSettings settings;
    private final ActionSink sink;

    private final EndpointTable endpoints;
    private final DiscoveryWatch watch;
    private final SlowStart slowStart;
    private final RolloutPredictor rollout = new RolloutPredictor();
    private final StreamPaceTracker pace;
    private final HotKeySpreader spreader = new HotKeySpreader();
    private final EndpointSelector selector;
    private final EndpointFeedback feedback;

    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    private final PendingQueue pending;
    private final AdmissionController admission;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final AttemptTimeouts timeouts;

    /** Creates the load balancer of one instance, which draws its random numbers from a seed. */
    public BoundedLoadBalancer(LoadBalancerSettings settings, long seed, ActionSink sink) {
        this.settings = settings;
        this.sink = sink;
        SplittableRandom random = new SplittableRandom(SplitMix64.mix(seed));
        OutlierDetector outliers = new OutlierDetector();
        LatencyTracker latency = new LatencyTracker();
        endpoints = new EndpointTable(settings.zone());
        watch = new DiscoveryWatch(settings, random::nextDouble);
        slowStart = new SlowStart(settings.endpointLifecycle(), random::nextDouble);
        pace = new StreamPaceTracker(endpoints, settings.requestClasses().size());
        admission = new AdmissionController(endpoints, pace, new TenantQuotas(settings.tenants()));
        feedback = new EndpointFeedback(endpoints, slowStart, outliers, latency, pace, admission);
        EndpointCapacity capacity = new EndpointCapacity(outliers, slowStart, latency, rollout, pace);
        ZoneAffinity zoneAffinity = new ZoneAffinity(settings.costs());
        selector = new EndpointSelector(endpoints, new LoadBound(), spreader, zoneAffinity, capacity, pace);
        pending = new PendingQueue(settings.tickNanos());
        retryBudget = new RetryBudget(settings.instances());
        retryPolicy = new RetryPolicy(settings.limits().maxAttempts(), retryBudget);
        timeouts = new AttemptTimeouts(retryBudget, latency);
    }

    @Override
    public void onEvent(long now, LoadBalancerEvent event) {
        if (event instanceof RequestArrived arrived) {
            onRequestArrived(arrived, now);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended, now);
        } else if (event instanceof ResponseStarted started) {
            onResponseStarted(started, now);
        } else if (event instanceof TimerFired fired) {
            onTimerFired(fired, now);
        } else if (event instanceof EndpointsUpdated updated) {
            onEndpointsUpdated(updated, now);
        } else if (event instanceof ClientDisconnected disconnected) {
            onClientDisconnected(disconnected);
        }
    }

    private void onEndpointsUpdated(EndpointsUpdated update, long now) {
        watch.onUpdate(update.kind(), now).ifPresent(this::setWatchTimer);
        if (update.kind().isFailure()) {
            return;
        }
        endpoints.update(update, (known, listed) -> beforeUpdate(known, listed, now));
        recountEndpoints();
        if (endpoints.areAllInSlowStart()) {
            slowStart.startWithoutDelayIfIdle(now);
        }
        servePending(now);
    }

    private void beforeUpdate(EndpointState known, Endpoint listed, long now) {
        if (listed.startedAt() != known.startedAt) {
            feedback.onRestart(known, listed.startedAt(), now);
        }
        if (listed.phase() == EndpointPhase.DRAINING && known.isReady()) {
            rollout.onDrain(now);
        }
        pace.onListed(known, listed.kind());
    }

    private void recountEndpoints() {
        endpoints.recount();
        pace.onReadyChanged(endpoints.ready());
        rollout.onReadyChanged(endpoints.ready());
    }

    private void endElapsedSlowStarts(long now) {
        if (slowStart.endElapsed(now)) {
            recountEndpoints();
        }
    }

    private void onTimerFired(TimerFired timer, long now) {
        if (timer.token() == WATCH_TIMER && watch.isDue(now)) {
            sink.perform(new WatchEndpoints());
            setWatchTimer(watch.onOpening(now));
        } else if (timer.token() == QUEUE_TIMER) {
            servePending(now);
            pending.onTimerFired();
            armPendingTimer(now);
        }
    }

    private void setWatchTimer(long dueAt) {
        sink.perform(new SetTimer(dueAt, WATCH_TIMER));
    }

    private void armPendingTimer(long now) {
        pending.armTimer(now).ifPresent(dueAt -> sink.perform(new SetTimer(dueAt, QUEUE_TIMER)));
    }

    private void onRequestArrived(RequestArrived arrival, long now) {
        endElapsedSlowStarts(now);
        ActiveRequest request = new ActiveRequest(arrival, settings.requestClass(arrival.classIndex()), now);
        requests.put(request.id(), request);
        retryBudget.onRequest();
        spreader.record(request, endpoints.readyCount());
        if (admission.shouldShed(request)) {
            answerWithoutResponse(request);
        } else {
            place(request, now);
        }
    }

    /** Starts the next attempt, or queues the request while no endpoint may take its first one. */
    private void place(ActiveRequest request, long now) {
        boolean isUseful = now < request.lastUsefulAt;
        EndpointState endpoint = isUseful ? selector.select(request, now) : null;
        if (endpoint != null) {
            startAttempt(request, endpoint, now);
        } else if (isUseful && request.attemptCount() == 0) {
            pending.add(request);
            armPendingTimer(now);
        } else {
            answerWithoutResponse(request);
        }
    }

    private void servePending(long now) {
        endElapsedSlowStarts(now);
        pending.takeEach(request -> servePending(request, now));
    }

    private void servePending(ActiveRequest request, long now) {
        EndpointState endpoint = selector.select(request, now);
        if (pending.isExpiring(request, now)) {
            answerWithoutResponse(request);
        } else if (endpoint != null) {
            startAttempt(request, endpoint, now);
        } else {
            pending.add(request);
        }
    }

    private void startAttempt(ActiveRequest request, EndpointState endpoint, long now) {
        request.addAttempt(endpoint, now);
        feedback.onAttemptStarted(endpoint, request, now);
        long deadline = timeouts.deadline(request, now, endpoints.readyCount());
        sink.perform(new StartAttempt(request.id(), endpoint.id, deadline));
    }

    private void onResponseStarted(ResponseStarted started, long now) {
        ActiveRequest request = requests.get(started.requestId());
        Attempt attempt = request == null ? null : request.attempt(started.attempt());
        if (attempt == null) {
            return;
        }
        attempt.responseStarted = true;
        attempt.firstTokenNanos = started.elapsedNanos();
        feedback.onResponseStarted(attempt, request, started.elapsedNanos(), now);
        finish(request);
    }

    private void onAttemptEnded(AttemptEnded ended, long now) {
        ActiveRequest request = requests.get(ended.requestId());
        Attempt attempt = request == null ? null : request.attempt(ended.attempt());
        if (attempt == null || !attempt.inFlight) {
            return;
        }
        request.endAttempt(attempt, ended.outcome().mayHaveRun());
        attempt.connectionLost = ended.outcome() == AttemptOutcome.RESET;
        feedback.onAttemptEnded(attempt, request, ended.outcome(), ended.elapsedNanos(), now);
        if (ended.requestFinished() || ended.outcome() == AttemptOutcome.SERVED) {
            finish(request);
        } else if (!request.isAnswered() && !request.hasAttemptsInFlight()) {
            retryOrAnswer(request, ended.outcome(), now);
        }
        forgetIfDone(request);
    }

    private void retryOrAnswer(ActiveRequest request, AttemptOutcome outcome, long now) {
        if (retryPolicy.tryRetry(request, outcome, now)) {
            place(request, now);
        } else {
            answerWithoutResponse(request);
        }
    }

    private void onClientDisconnected(ClientDisconnected disconnected) {
        ActiveRequest request = requests.get(disconnected.requestId());
        if (request != null) {
            finish(request);
        }
    }

    /** Gives the final answer when there is nothing more to try: a rejection where idempotency allows it. */
    private void answerWithoutResponse(ActiveRequest request) {
        sink.perform(
                IdempotencyRules.mayReject(request)
                        ? new RejectRequest(request.id(), settings.limits().maxRetryAfterNanos())
                        : new FailRequest(request.id()));
        finish(request);
    }

    /** The request has its final answer; its attempts count as in flight until each has ended. */
    private void finish(ActiveRequest request) {
        if (!request.isAnswered()) {
            request.markAnswered();
            if (settings.limits().cancellation()) {
                cancelAttemptsWithoutResponse(request);
            }
        }
        forgetIfDone(request);
    }

    private void cancelAttemptsWithoutResponse(ActiveRequest request) {
        for (int i = 0; i < request.attemptCount(); i++) {
            Attempt attempt = request.attempt(i);
            if (attempt.inFlight && !attempt.responseStarted) {
                sink.perform(new CancelAttempt(request.id(), i));
            }
        }
    }

    private void forgetIfDone(ActiveRequest request) {
        if (request.isAnswered() && !request.hasAttemptsInFlight()) {
            requests.remove(request.id());
        }
    }
}
