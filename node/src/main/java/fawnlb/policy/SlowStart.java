package fawnlb.policy;

import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Limits what endpoints that started a short time ago receive. The capacity of such an endpoint grows with its age, and
 * the budget for it is shared by all instances: this one sends it no more than its present fraction of the mean work of
 * a warm endpoint, all prompts counted as uncached.
 *
 * <p>Each instance begins at a moment of its own, so that many quiet instances don't each send one request at once. An
 * instance that has seen no load by which to know its share begins at any moment until the endpoint is warm, unless all
 * endpoints are in slow start.
 */
final class SlowStart {
    private static final double SECOND = 1e9;
    /** The work that this instance sends is averaged over about ten seconds. */
    private static final double WORK_RATE_NANOS = 10 * SECOND;
    /** Requests over which the mean work of a request is averaged. */
    private static final int WORK_SAMPLES = 16;
    /** The longest rest, eleven days; it keeps the sum with the clock within a long. */
    private static final double MAX_REST_NANOS = 1e15;
    /** Keeps an instance without load from dividing by zero. */
    private static final double MIN_WORK_PER_NANO = 1e-12;

    private final EndpointLifecycle lifecycle;
    private final DoubleSupplier random;
    private final List<EndpointState> endpoints = new ArrayList<>();
    private long nextEndAt = Long.MAX_VALUE;
    private double workPerNano;
    private long workPerNanoAt;
    private double meanWork;

    /** Creates one without endpoints; {@code random} draws from 0 (inclusive) to 1 (exclusive). */
    SlowStart(EndpointLifecycle lifecycle, DoubleSupplier random) {
        this.lifecycle = lifecycle;
        this.random = random;
    }

    /** Notes when an endpoint started; {@code startedAt}: 0 if long ago. */
    void onRestart(EndpointState endpoint, long startedAt, long now, int warmEndpoints) {
        endpoint.startedAt = startedAt;
        long endsAt = startedAt + lifecycle.slowStartWindowNanos();
        if (startedAt <= 0 || now - startedAt >= lifecycle.slowStartWindowNanos()) {
            return;
        }
        if (!endpoint.inSlowStart) {
            endpoints.add(endpoint);
        }
        endpoint.inSlowStart = true;
        nextEndAt = Math.min(nextEndAt, endsAt);
        double longestWait =
                meanWork > 0 ? restNanos(endpoint, meanWork, now, warmEndpoints) : lifecycle.slowStartWindowNanos();
        endpoint.slowStartNextAttemptAt = now + (long) (random.getAsDouble() * longestWait);
    }

    /** Lets all endpoints in slow start receive a request at once, if this instance has not sent any work yet. */
    void startWithoutDelayIfIdle(long now) {
        if (meanWork == 0) {
            endpoints.forEach(endpoint -> endpoint.slowStartNextAttemptAt = now);
        }
    }

    /** Ends slow start where its window has passed; true if the counts over endpoints have to be taken anew. */
    boolean endElapsed(long now) {
        if (now < nextEndAt) {
            return false;
        }
        nextEndAt = Long.MAX_VALUE;
        endpoints.removeIf(endpoint -> {
            long endsAt = endpoint.startedAt + lifecycle.slowStartWindowNanos();
            endpoint.inSlowStart = now < endsAt;
            nextEndAt = endpoint.inSlowStart ? Math.min(nextEndAt, endsAt) : nextEndAt;
            return !endpoint.inSlowStart;
        });
        return true;
    }

    /** Whether an endpoint has to rest before its next request. */
    boolean isResting(EndpointState endpoint, long now) {
        return endpoint.inSlowStart && now < endpoint.slowStartNextAttemptAt;
    }

    /** The fraction of its full capacity that an endpoint has by now. */
    double capacityFraction(EndpointState endpoint, long now) {
        return endpoint.inSlowStart ? rampedCapacity(endpoint, now) : 1;
    }

    private double rampedCapacity(EndpointState endpoint, long now) {
        double age = Math.max(0, now - endpoint.startedAt) / (double) lifecycle.slowStartWindowNanos();
        double initial = lifecycle.slowStartInitialCapacity();
        return Math.min(1, initial + (1 - initial) * age);
    }

    /** Notes an attempt with this much work on an endpoint, which rests afterwards if it is in slow start. */
    void onAttemptStarted(EndpointState endpoint, double work, long now, int warmEndpoints) {
        if (endpoint.inSlowStart) {
            endpoint.slowStartNextAttemptAt = now + (long) restNanos(endpoint, work, now, warmEndpoints);
        }
        workPerNano = decayedWorkPerNano(now) + work / WORK_RATE_NANOS;
        workPerNanoAt = now;
        meanWork += (work - meanWork) / WORK_SAMPLES;
    }

    /**
     * How long an endpoint rests after this much work, given this instance's share of its budget. The budget lies
     * midway between what the endpoint can serve now and what would overload it.
     */
    private double restNanos(EndpointState endpoint, double work, long now, int warmEndpoints) {
        double budget = rampedCapacity(endpoint, now) * (1 + lifecycle.slowStartOverloadMultiple()) / 2;
        double rate = budget * decayedWorkPerNano(now) / Math.max(1, warmEndpoints);
        return Math.min(MAX_REST_NANOS, work / Math.max(rate, MIN_WORK_PER_NANO));
    }

    private double decayedWorkPerNano(long now) {
        return workPerNano * Math.exp((workPerNanoAt - now) / WORK_RATE_NANOS);
    }

    /** The number of endpoints in slow start, listed or not. */
    int size() {
        return endpoints.size();
    }
}
