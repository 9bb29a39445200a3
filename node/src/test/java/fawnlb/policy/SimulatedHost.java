package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction;
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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import java.util.stream.LongStream;

/**
 * Carries out the actions of one load balancer on a clock of its own: starts attempts on simulated endpoints, raises
 * timers and answers calls to discovery. All actions go into a digest. Everything is drawn from one seed.
 */
final class SimulatedHost {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;

    /** How an endpoint responds: with a failure of this probability, else completely. */
    record Behavior(
            long firstTokenNanos,
            long nanosPerToken,
            AttemptOutcome failure,
            double failureProbability,
            boolean failsMidStream) {
        static final Behavior HEALTHY = healthy(100 * MS, 4 * MS);

        static Behavior healthy(long firstTokenNanos, long nanosPerToken) {
            return new Behavior(firstTokenNanos, nanosPerToken, AttemptOutcome.SERVED, 0, false);
        }

        static Behavior failing(AttemptOutcome outcome, double probability) {
            return new Behavior(100 * MS, 4 * MS, outcome, probability, false);
        }

        static Behavior failingMidStream(AttemptOutcome outcome, double probability) {
            return new Behavior(100 * MS, 4 * MS, outcome, probability, true);
        }
    }

    /** What clients ask for; {@code hotPart} of the requests share one prefix. */
    record Traffic(
            double perSecond,
            int prefixes,
            int sessions,
            double hotPart,
            int types,
            int tenants,
            double leaveProbability) {
        static Traffic steady(double perSecond) {
            return new Traffic(perSecond, 40, 300, 0, 1, 1, 0);
        }
    }

    /** An attempt that has not ended yet. */
    private static final class Running {
        final StartAttempt start;
        final int number;
        boolean ended;

        Running(StartAttempt start, int number) {
            this.start = start;
            this.number = number;
        }
    }

    /** A request and its attempts so far. */
    private static final class Exchange {
        final RequestArrived request;
        final List<Running> attempts = new ArrayList<>();
        boolean answered;

        Exchange(RequestArrived request) {
            this.request = request;
        }
    }

    private static final int FIRST_TYPE = 0;

    final SplittableRandom random;
    final Map<Long, Behavior> behaviors = new HashMap<>();
    /** How discovery answers the next calls; when they are used up, it answers with the complete list. */
    final Deque<EndpointUpdateKind> discoveryAnswers = new ArrayDeque<>();

    List<Endpoint> listed = List.of();
    private final EventQueue queue = new EventQueue(100 * S);

    private final LoadBalancerSettings settings;
    private final BoundedLoadBalancer loadBalancer;
    private final ActionDigest digest = new ActionDigest();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private long requestId;

    SimulatedHost(LoadBalancerSettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        loadBalancer = new BoundedLoadBalancer(settings, seed, this::act);
    }

    /** An endpoint of zones 0 to 2 and kinds 0 and 1 by turns, six endpoints a cell. */
    static Endpoint endpoint(long id, EndpointPhase phase, long startedAt) {
        return new Endpoint(
                EndpointId.ofNumber(id), phase, startedAt, 1, (int) (id % 3), (int) (id / 6), (int) (id % 2));
    }

    /** Endpoints with ids from 1 on. */
    static Endpoint[] ready(int count) {
        return LongStream.rangeClosed(1, count)
                .mapToObj(id -> endpoint(id, EndpointPhase.READY, 0))
                .toArray(Endpoint[]::new);
    }

    /** Sets the behavior of those of the first endpoints that meet a condition. */
    void behave(int endpoints, LongPredicate condition, Behavior behavior) {
        LongStream.rangeClosed(1, endpoints).filter(condition).forEach(id -> behaviors.put(id, behavior));
    }

    String result() {
        return digest.result();
    }

    void handle(LoadBalancerEvent event) {
        loadBalancer.onEvent(now(), event);
    }

    void list(EndpointUpdateKind kind, Endpoint... entries) {
        handle(new EndpointsUpdated(kind, 1, List.of(entries)));
    }

    long now() {
        return queue.now();
    }

    void after(long nanos, Runnable callback) {
        queue.schedule(now() + nanos, callback);
    }

    /** Lets this much time pass without new requests. */
    void pass(long nanos) {
        queue.advanceTo(now() + nanos);
    }

    /** Lets this much time pass, in which requests arrive. */
    void play(long nanos, Traffic traffic) {
        long end = now() + nanos;
        long mean = (long) (S / traffic.perSecond());
        while (true) {
            long gap = random.nextLong(2 * mean) + 1;
            if (now() + gap > end) {
                pass(end - now());
                return;
            }
            pass(gap);
            arrive(traffic);
        }
    }

    private void arrive(Traffic traffic) {
        long session = 1L + random.nextInt(traffic.sessions());
        long prefix = random.nextDouble() < traffic.hotPart() ? 77 : prefix(traffic);
        int type = FIRST_TYPE + random.nextInt(traffic.types());
        int promptTokens = 50 + random.nextInt(2000);
        arrive(new RequestArrived(
                ++requestId,
                type,
                random.nextInt(traffic.tenants()),
                random.nextInt(10) == 0 ? 0 : session,
                prefix,
                4 * S,
                0,
                promptTokens,
                promptTokens / 2.0,
                20 + random.nextInt(400),
                false,
                false,
                false));
        if (random.nextDouble() < traffic.leaveProbability()) {
            long id = requestId;
            after(random.nextLong(2 * S), () -> leave(id));
        }
    }

    private long prefix(Traffic traffic) {
        int number = random.nextInt(traffic.prefixes() + 1);
        return number == 0 ? 0 : 1000L + number * 7919L;
    }

    void arrive(RequestArrived request) {
        exchanges.put(request.requestId(), new Exchange(request));
        handle(request);
    }

    private void leave(long id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            exchange.answered = true;
            handle(new ClientDisconnected(id));
        }
    }

    // ---- Actions --------------------------------------------------------------------------------------

    private void act(LoadBalancerAction action) {
        digest.add(now(), action);
        if (action instanceof StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof CancelAttempt cancel) {
            Running attempt = exchanges.get(cancel.requestId()).attempts.get(cancel.attempt());
            after(MS, () -> end(attempt, AttemptOutcome.CANCELLED, 0, true));
        } else if (action instanceof RejectRequest reject) {
            answer(reject.requestId(), true);
        } else if (action instanceof FailRequest fail) {
            answer(fail.requestId(), false);
        } else if (action instanceof SetTimer timer) {
            after(Math.max(0, timer.dueAt() - now()), () -> handle(new TimerFired(timer.token())));
        } else if (action instanceof WatchEndpoints) {
            answerSubscription();
        }
    }

    private void answerSubscription() {
        EndpointUpdateKind kind = discoveryAnswers.isEmpty() ? EndpointUpdateKind.FULL : discoveryAnswers.poll();
        long delay = kind == EndpointUpdateKind.THROTTLED || kind == EndpointUpdateKind.TIMED_OUT ? S : MS;
        after(delay, () -> handle(new EndpointsUpdated(kind, 1, kind.isFailure() ? List.of() : listed)));
    }

    /** Notes the final answer to a request; half of the clients that are rejected retry. */
    private void answer(long id, boolean mayRetry) {
        Exchange exchange = exchanges.get(id);
        exchange.answered = true;
        if (mayRetry && !exchange.request.isRetry() && random.nextBoolean()) {
            RequestArrived first = exchange.request;
            after(
                    300 * MS,
                    () -> arrive(new RequestArrived(
                            ++requestId,
                            first.classIndex(),
                            first.tenantIndex(),
                            first.sessionKey(),
                            first.prefixKey(),
                            3 * S,
                            0,
                            first.promptTokens(),
                            first.prefixTokens(),
                            first.maxTokens(),
                            false,
                            true,
                            false)));
        }
    }

    private void startAttempt(StartAttempt start) {
        Exchange exchange = exchanges.get(start.requestId());
        Running attempt = new Running(start, exchange.attempts.size());
        exchange.attempts.add(attempt);
        Behavior behavior = behaviors.getOrDefault(start.endpointId().ringSeed(), Behavior.HEALTHY);
        boolean fails = random.nextDouble() < behavior.failureProbability();
        long jitter = random.nextLong(20 * MS);
        long first = behavior.firstTokenNanos() + jitter;
        if (fails && !behavior.failsMidStream()) {
            fail(attempt, behavior.failure(), first);
        } else if (now() + first > start.deadline()) {
            timeOut(attempt);
        } else {
            stream(exchange, attempt, first, fails);
        }
    }

    private void fail(Running attempt, AttemptOutcome outcome, long took) {
        boolean silent = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.STALLED;
        if (silent || now() + took > attempt.start.deadline()) {
            timeOut(attempt);
        } else {
            after(took, () -> end(attempt, outcome, took, false));
        }
    }

    private void timeOut(Running attempt) {
        long timeoutNanos = attempt.start.deadline() - now();
        after(
                timeoutNanos,
                () -> end(
                        attempt,
                        random.nextInt(4) == 0 ? AttemptOutcome.STALLED : AttemptOutcome.TIMEOUT,
                        timeoutNanos,
                        false));
    }

    private void stream(Exchange exchange, Running attempt, long first, boolean fails) {
        Behavior behavior = behaviors.getOrDefault(attempt.start.endpointId().ringSeed(), Behavior.HEALTHY);
        long took = first + (long) (behavior.nanosPerToken() * exchange.request.maxTokens());
        boolean streams = settings.requestClass(exchange.request.classIndex()).isStreaming();
        if (streams) {
            after(first, () -> started(exchange, attempt, first));
        }
        if (fails) {
            after(first + took / 3, () -> end(attempt, behavior.failure(), first + took / 3, streams));
        } else {
            after(took, () -> end(attempt, AttemptOutcome.SERVED, took, true));
        }
    }

    private void started(Exchange exchange, Running attempt, long took) {
        if (!attempt.ended) {
            exchange.answered = true;
            handle(new ResponseStarted(attempt.start.requestId(), attempt.number, attempt.start.endpointId(), took));
        }
    }

    private void end(Running attempt, AttemptOutcome outcome, long took, boolean over) {
        if (!attempt.ended) {
            attempt.ended = true;
            boolean last = over || exchanges.get(attempt.start.requestId()).answered;
            handle(new AttemptEnded(
                    attempt.start.requestId(),
                    attempt.number,
                    attempt.start.endpointId(),
                    outcome,
                    last,
                    took,
                    0,
                    List.of()));
        }
    }
}
