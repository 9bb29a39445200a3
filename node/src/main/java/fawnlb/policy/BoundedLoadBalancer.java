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
 * All decisions of one router. The interface (settings, events, actions) is decision.Balancer.
 *
 * <p>The ordinary path is bounded-load consistent hashing: a request's prefix, else its session, is hashed onto a ring
 * of replicas and sent to the first one clockwise whose count of this router's own attempts is below the cap. What
 * departs from that stands in the section on exceptions, each with what it guards against. A Choice has no clock, no
 * threads and no state but its own.
 */
public final class BoundedLoadBalancer implements LoadBalancer {

    // ---- Settings -------------------------------------------------------------------------------------

    private static final int LIST_TIMER = 0;
    private static final int HELD_TIMER = 1;

    private final LoadBalancerSettings settings;
    private final ActionSink sink;
    private long now;

    public BoundedLoadBalancer(LoadBalancerSettings settings, long seed, ActionSink sink) {
        this.settings = settings;
        this.sink = sink;
        this.pending = new PendingQueue(settings.tickNanos());
        this.endpoints = new EndpointTable(settings.zone());
        this.pace = new StreamPaceTracker(endpoints, settings.requestClasses().size());
        this.admission = new AdmissionController(endpoints, pace, new TenantQuotas(settings.tenants()));
        SplittableRandom random = new SplittableRandom(SplitMix64.mix(seed));
        this.slowStart = new SlowStart(settings.endpointLifecycle(), random::nextDouble);
        EndpointCapacity capacity = new EndpointCapacity(outliers, slowStart, latency, rollout, pace);
        ZoneAffinity zoneAffinity = new ZoneAffinity(settings.costs());
        this.selector = new EndpointSelector(endpoints, new LoadBound(), spreader, zoneAffinity, capacity, pace);
        this.watch = new DiscoveryWatch(settings, random::nextDouble);
        this.retryBudget = new RetryBudget(settings.instances());
        this.retryPolicy = new RetryPolicy(settings.limits().maxAttempts(), retryBudget);
        this.timeouts = new AttemptTimeouts(retryBudget, latency);
    }

    @Override
    public void onEvent(long time, LoadBalancerEvent event) {
        now = time;
        if (event instanceof RequestArrived e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof ResponseStarted e) {
            started(e);
        } else if (event instanceof TimerFired e) {
            timerDue(e.token());
        } else if (event instanceof EndpointsUpdated e) {
            listed(e);
        } else if (event instanceof ClientDisconnected e) {
            ActiveRequest task = tasks.get(e.requestId());
            if (task != null) {
                close(task);
            }
        }
    }

    // ---- List -----------------------------------------------------------------------------------------

    private final EndpointTable endpoints;
    private final DiscoveryWatch watch;

    private void listed(EndpointsUpdated news) {
        watch.onUpdate(news.kind(), now).ifPresent(this::wakeForList);
        if (news.kind().isFailure()) {
            return;
        }
        endpoints.update(news, this::beforeUpdate);
        recount();
        if (endpoints.areAllInSlowStart()) {
            slowStart.startWithoutDelayIfIdle(now);
        }
        serveHeld();
    }

    private void beforeUpdate(EndpointState node, Endpoint replica) {
        if (replica.startedAt() != node.startedAt) {
            restarted(node, replica.startedAt());
        }
        if (replica.phase() == EndpointPhase.DRAINING && node.phase == EndpointPhase.READY) {
            rollout.onDrain(now);
        }
        pace.onListed(node, replica.kind());
    }

    /** The last timer that was set counts: if all did, each call that fails would leave two behind. */
    private void wakeForList(long at) {
        sink.perform(new SetTimer(at, LIST_TIMER));
    }

    private void askForList() {
        if (watch.isDue(now)) {
            sink.perform(new WatchEndpoints());
            wakeForList(watch.onOpening(now));
        }
    }

    private void recount() {
        endpoints.recount();
        pace.onReadyChanged(endpoints.ready());
        rollout.onReadyChanged(endpoints.ready());
    }

    // ---- Ring and cap ---------------------------------------------------------------------------------

    // ---- Exceptions -----------------------------------------------------------------------------------

    private final HotKeySpreader spreader = new HotKeySpreader();

    private final EndpointSelector selector;

    private final LatencyTracker latency = new LatencyTracker();

    private final RolloutPredictor rollout = new RolloutPredictor();

    private final AdmissionController admission;
    private final StreamPaceTracker pace;

    private final SlowStart slowStart;

    private void restarted(EndpointState node, long readyAt) {
        outliers.onRestart(node);
        latency.onRestart(node);
        admission.onRestart(node);
        slowStart.onRestart(node, readyAt, now, endpoints.warmCount());
    }

    private void warmUp() {
        if (slowStart.endElapsed(now)) {
            recount();
        }
    }

    // ---- Request life ---------------------------------------------------------------------------------

    private final Map<Long, ActiveRequest> tasks = new HashMap<>();
    private final PendingQueue pending;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final AttemptTimeouts timeouts;

    private void arrived(RequestArrived request) {
        warmUp();
        ActiveRequest task = new ActiveRequest(request, settings.requestClass(request.classIndex()), now);
        tasks.put(request.requestId(), task);
        retryBudget.onRequest();
        spreader.record(task, endpoints.readyCount());
        if (admission.shouldShed(task)) {
            giveUp(task);
        } else {
            place(task);
        }
    }

    /** Sends the task's next attempt, or holds the task while no replica may take it. */
    private void place(ActiveRequest task) {
        EndpointState node = now < task.lastUsefulAt ? selector.select(task, now) : null;
        if (node != null) {
            send(task, node);
        } else if (now < task.lastUsefulAt && task.attemptCount() == 0) {
            pending.add(task);
            armHeld();
        } else {
            giveUp(task);
        }
    }

    private void send(ActiveRequest task, EndpointState node) {
        task.addAttempt(node, now);
        endpoints.onAttemptStarted(node);
        latency.onAttemptStarted(node, now);
        slowStart.onAttemptStarted(node, task.work, now, endpoints.warmCount());
        sink.perform(new StartAttempt(task.id(), node.id, timeouts.deadline(task, now, endpoints.readyCount())));
    }

    private void armHeld() {
        pending.armTimer(now).ifPresent(dueAt -> sink.perform(new SetTimer(dueAt, HELD_TIMER)));
    }

    /** Tries held tasks again; one whose time is nearly up is refused. */
    private void serveHeld() {
        warmUp();
        pending.takeEach(this::serveHeld);
    }

    private void serveHeld(ActiveRequest task) {
        EndpointState node = selector.select(task, now);
        if (pending.isExpiring(task, now)) {
            giveUp(task);
        } else if (node != null) {
            send(task, node);
        } else {
            pending.add(task);
        }
    }

    private void started(ResponseStarted event) {
        ActiveRequest task = tasks.get(event.requestId());
        if (task == null || event.attempt() >= task.attemptCount()) {
            return;
        }
        Attempt attempt = task.attempt(event.attempt());
        attempt.responseStarted = true;
        attempt.firstTokenNanos = event.elapsedNanos();
        latency.onSignOfLife(attempt.endpoint, now);
        latency.record(attempt.endpoint, event.elapsedNanos());
        outliers.onResponseStarted(attempt.endpoint);
        admission.recordFirstToken(attempt.endpoint, task, event.elapsedNanos());
        close(task);
    }

    private void ended(AttemptEnded event) {
        ActiveRequest task = tasks.get(event.requestId());
        if (task == null || event.attempt() >= task.attemptCount()) {
            return;
        }
        Attempt attempt = task.attempt(event.attempt());
        if (!attempt.inFlight) {
            return;
        }
        EndpointState node = attempt.endpoint;
        boolean silent = event.outcome() == AttemptOutcome.TIMEOUT || event.outcome() == AttemptOutcome.STALLED;
        task.endAttempt(attempt, event.outcome().mayHaveRun());
        endpoints.onAttemptEnded(node);
        if (!attempt.responseStarted) {
            if (silent || event.outcome() == AttemptOutcome.CANCELLED) {
                latency.onGivenUp(node);
            } else {
                latency.onSignOfLife(node, now);
            }
        }
        if (silent && !attempt.responseStarted) {
            latency.record(node, event.elapsedNanos());
        }
        outliers.onAttemptEnded(node, event.outcome(), attempt.responseStarted, now);
        if (event.outcome() == AttemptOutcome.SERVED && attempt.responseStarted) {
            pace.record(node, task, event.elapsedNanos() - attempt.firstTokenNanos);
        }
        if (silent && !attempt.responseStarted || event.outcome() == AttemptOutcome.FULL) {
            admission.recordOverload(node);
        }
        if (event.requestFinished() || event.outcome() == AttemptOutcome.SERVED) {
            close(task);
        } else if (!task.isAnswered() && !task.hasAttemptsInFlight()) {
            again(task, event.outcome());
        }
        if (task.isAnswered() && !task.hasAttemptsInFlight()) {
            tasks.remove(task.id());
        }
    }

    /** All attempts so far have failed: one more within the rules and the budget, else the final answer. */
    private void again(ActiveRequest task, AttemptOutcome outcome) {
        if (retryPolicy.tryRetry(task, outcome, now)) {
            place(task);
        } else {
            giveUp(task);
        }
    }

    /** The final answer when there is nothing more to try: a refusal where the rules let it be one. */
    private void giveUp(ActiveRequest task) {
        sink.perform(
                IdempotencyRules.mayReject(task)
                        ? new RejectRequest(task.id(), settings.limits().maxRetryAfterNanos())
                        : new FailRequest(task.id()));
        close(task);
    }

    /** The task has its final answer; its attempts still count until each has ended. */
    private void close(ActiveRequest task) {
        if (!task.isAnswered()) {
            task.markAnswered();
            for (int i = 0; i < task.attemptCount() && settings.limits().cancellation(); i++) {
                Attempt attempt = task.attempt(i);
                if (attempt.inFlight && !attempt.responseStarted) {
                    sink.perform(new CancelAttempt(task.id(), i));
                }
            }
        }
        if (!task.hasAttemptsInFlight()) {
            tasks.remove(task.id());
        }
    }

    private final OutlierDetector outliers = new OutlierDetector();

    // ---- Timers ---------------------------------------------------------------------------------------

    private void timerDue(int token) {
        if (token == LIST_TIMER) {
            askForList();
        } else if (token == HELD_TIMER) {
            serveHeld();
            pending.onTimerFired();
            armHeld();
        }
    }
}
