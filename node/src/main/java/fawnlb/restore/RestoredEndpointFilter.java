package fawnlb.restore;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.filter.EndpointFilter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * How far a remembered list is believed until discovery is heard again. Every backend of it counts as cold until it has
 * answered: it may hold a few requests of this node that wait for their first token and no more, and sends to it are so
 * paced by its own answers. Requests that run count for nothing, since they are no new work.
 *
 * <pre>
 *   REMEMBERED --its turn--> PROVING --answers, and time to warm up--> PROVEN
 *                              |  ^                                      |
 *                      failure |  | wait over                            | refuses connects: it may come back cold
 *                              v  |                                      |
 *                             DOUBTED <----------------------------------+
 *   any --named by discovery, or left out--> gone from here
 * </pre>
 *
 * <p>The weight of a memory halves with each half-life of its age. The sum of the weights is how many backends are
 * expected to be there still, and so many may be tried at once, the latest heard of first. What discovery says wins at
 * once.
 */
public final class RestoredEndpointFilter implements EndpointFilter {
    /** A backend on probation. */
    public enum RestoredEndpointState {
        RESTORED,
        HALF_OPEN,
        HEALTHY,
        EJECTED
    }

    /**
     * How long a node waits for its first answer of a discovery that refuses its calls since it has too many, in
     * nanoseconds.
     */
    public static final long MAX_THROTTLED_WAIT_NANOS = 4_000_000_000L;
    /** The weight of a memory whose age is not known. */
    private static final double UNKNOWN_AGE_WEIGHT = 0.5;
    /** A memory of at least this weight is let try its whole part at once. */
    private static final double FRESH_WEIGHT = 0.9;

    private final RestoreSettings settings;
    private final long seed;
    private final Map<Long, Long> lastContactAt;
    private final Consumer<String> log;
    private final Map<Long, RestoredEndpoint> restoredEndpoints = new LinkedHashMap<>();
    private boolean discoveryAnswered;
    private double expectedEndpoints;
    private EndpointsUpdated heldEmptyUpdate;
    private long emptyListHeldUntil = NEVER;
    /**
     * Discovery has been asked and has neither answered nor failed. Until then no remembered backend is tried: the
     * address of one may belong to another by now, and a node may send only to what its list has named.
     */
    private boolean awaitingDiscovery;

    private long awaitingSince;
    private long admitTrialsAt = NEVER;

    /**
     * Times in nanoseconds. {@code halfLifeNanos}: after which a memory weighs half; {@code requiredResponses}: answers
     * that prove a backend; {@code warmUpNanos}: from the first answer until it may count as warm;
     * {@code fleetPendingLimit}: requests that may await their first token at one unproven backend, from all nodes
     * together; {@code instanceCount}: how many nodes; {@code minConcurrentTrials}: backends that may be tried at once
     * at least; {@code baseEjectionNanos}, {@code maxEjectionNanos}: how long a backend is left alone after a failure,
     * doubled with each up to the longest; {@code emptyListHoldNanos}: how long an empty list is not believed while
     * backends are held, 0 to believe it at once.
     */
    public record RestoreSettings(
            long halfLifeNanos,
            int requiredResponses,
            long warmUpNanos,
            int fleetPendingLimit,
            int instanceCount,
            int minConcurrentTrials,
            long baseEjectionNanos,
            long maxEjectionNanos,
            long emptyListHoldNanos) {
        /** This node's part of what all nodes may have waiting at an unproven backend. */
        int instancePendingLimit() {
            return Math.max(1, fleetPendingLimit / Math.max(1, instanceCount));
        }
    }

    private static final class RestoredEndpoint {
        final double weight;
        final long tieBreaker;
        Endpoint endpoint;
        RestoredEndpointState state = RestoredEndpointState.RESTORED;
        int responses;
        int consecutiveFailures;
        long firstResponseAt;
        long ejectedUntil;
        int publishedLimit;

        RestoredEndpoint(Endpoint endpoint, double weight, long tieBreaker) {
            this.endpoint = endpoint;
            this.weight = weight;
            this.tieBreaker = tieBreaker;
        }
    }

    /**
     * Heard: when each backend was last listed or answered, in nanoseconds on the host's clock; 0 or absent if unknown.
     */
    public RestoredEndpointFilter(
            RestoreSettings settings, long seed, Map<Long, Long> lastContactAt, Consumer<String> log) {
        this.settings = settings;
        this.seed = seed;
        this.lastContactAt = Map.copyOf(lastContactAt);
        this.log = log;
    }

    // ---- What discovery says --------------------------------------------------------------------------

    @Override
    public EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update) {
        return switch (update.kind()) {
            case CACHED -> onCachedList(now, update);
            case FULL -> onFullList(now, update);
            case DELTA -> onChanges(update);
            case FAILED, TIMED_OUT -> {
                admitTrialsAt = awaitingDiscovery ? now : admitTrialsAt;
                awaitingDiscovery = false;
                yield update;
            }
            case THROTTLED -> {
                // Discovery may well be up, and answer the next call: what it would say holds for this node by then.
                admitTrialsAt =
                        awaitingDiscovery ? Math.max(now, awaitingSince + MAX_THROTTLED_WAIT_NANOS) : admitTrialsAt;
                yield update;
            }
            case FILTERED -> update;
        };
    }

    private EndpointsUpdated onCachedList(long now, EndpointsUpdated update) {
        if (discoveryAnswered) {
            return update;
        }
        restoredEndpoints.clear();
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.phase() == EndpointPhase.READY) {
                restoredEndpoints.put(
                        endpoint.id(),
                        new RestoredEndpoint(endpoint, weight(now, endpoint.id()), mixBits(endpoint.id() ^ seed)));
            }
        }
        awaitingDiscovery = true;
        awaitingSince = now;
        expectedEndpoints = restoredEndpoints.values().stream()
                .mapToDouble(restored -> restored.weight)
                .sum();
        admitTrials(now);
        if (!restoredEndpoints.isEmpty()) {
            log.accept("starting from " + restoredEndpoints.size() + " remembered targets, about "
                    + Math.round(expectedEndpoints) + " of them expected to be there");
        }
        return limitRestored(update, update.kind());
    }

    private EndpointsUpdated onFullList(long now, EndpointsUpdated update) {
        boolean isEmpty = update.endpoints().stream().allMatch(endpoint -> endpoint.phase() == EndpointPhase.GONE);
        if (isEmpty
                && settings.emptyListHoldNanos() > 0
                && (emptyListHeldUntil != NEVER || !discoveryAnswered && !restoredEndpoints.isEmpty())) {
            if (emptyListHeldUntil == NEVER) {
                emptyListHeldUntil = now + settings.emptyListHoldNanos();
                log.accept("discovery lists no target; the remembered ones stay for "
                        + settings.emptyListHoldNanos() / 1_000_000 + " ms");
            }
            heldEmptyUpdate = update;
            // The call has worked, and nothing has changed yet.
            return new EndpointsUpdated(EndpointUpdateKind.DELTA, update.version(), List.of());
        }
        acceptDiscovery("discovery is back with " + update.endpoints().size() + " targets");
        return update;
    }

    /** Discovery answers from where this node stood, so all that it does not mention is as it was. */
    private EndpointsUpdated onChanges(EndpointsUpdated update) {
        if (emptyListHeldUntil != NEVER
                && update.endpoints().stream().allMatch(endpoint -> endpoint.phase() == EndpointPhase.GONE)) {
            return update;
        }
        List<Endpoint> endpoints = new ArrayList<>(update.endpoints());
        if (emptyListHeldUntil == NEVER) {
            var namedIds = update.endpoints().stream().map(Endpoint::id).collect(Collectors.toSet());
            restoredEndpoints.values().stream()
                    .map(restored -> restored.endpoint)
                    .filter(r -> !namedIds.contains(r.id()))
                    .forEach(endpoints::add);
        } else {
            // The whole list was empty: what it left out is gone, now that there is another to go to.
            restoredEndpoints.values().stream()
                    .map(restored -> restored.endpoint.asGone())
                    .forEach(endpoints::add);
            endpoints.removeIf(r -> r.phase() == EndpointPhase.GONE
                    && update.endpoints().stream().anyMatch(n -> n.id() == r.id() && n.phase() != EndpointPhase.GONE));
        }
        acceptDiscovery("discovery is back");
        return new EndpointsUpdated(update.kind(), update.version(), endpoints);
    }

    private void acceptDiscovery(String reason) {
        if (!discoveryAnswered && !restoredEndpoints.isEmpty()) {
            log.accept(reason + "; of the remembered " + restoredEndpoints.size() + ", "
                    + count(RestoredEndpointState.HEALTHY) + " had proved themselves, "
                    + count(RestoredEndpointState.EJECTED) + " were in doubt");
        }
        discoveryAnswered = true;
        restoredEndpoints.clear();
        heldEmptyUpdate = null;
        emptyListHeldUntil = NEVER;
    }

    // ---- What the backends do --------------------------------------------------------------------------

    @Override
    public EndpointsUpdated onEvent(long now, LoadBalancerEvent event) {
        if (restoredEndpoints.isEmpty()) {
            return null;
        }
        if (event instanceof ResponseStarted e) {
            onResponse(now, restoredEndpoints.get(e.endpointId()));
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(now, restoredEndpoints.get(e.endpointId()), e.outcome());
        } else {
            return null;
        }
        return advance(now);
    }

    private void onResponse(long now, RestoredEndpoint restored) {
        if (restored == null || restored.state == RestoredEndpointState.HEALTHY) {
            return;
        }
        // An answer ends a doubt too: it may be the one to a request that was out when the doubt began.
        restored.state = RestoredEndpointState.HALF_OPEN;
        restored.consecutiveFailures = 0;
        restored.firstResponseAt = restored.responses == 0 ? now : restored.firstResponseAt;
        restored.responses++;
    }

    private void onAttemptEnded(long now, RestoredEndpoint restored, AttemptOutcome outcome) {
        if (restored == null) {
            return;
        }
        boolean countsAsFailure = switch (outcome) {
            case CONNECT_FAILED -> true;
            // A proven backend's health is the module's business; only one that went away may come back cold.
            case ERROR, RESET, TIMEOUT, FULL, STALLED -> restored.state != RestoredEndpointState.HEALTHY;
            case SERVED, CANCELLED, NEVER_SENT -> false;
        };
        if (countsAsFailure && restored.state != RestoredEndpointState.EJECTED) {
            restored.state = RestoredEndpointState.EJECTED;
            restored.ejectedUntil = now
                    + Math.min(
                            settings.maxEjectionNanos(),
                            settings.baseEjectionNanos() << Math.min(restored.consecutiveFailures, 20));
            restored.consecutiveFailures++;
            restored.responses = 0;
        }
    }

    @Override
    public long nextWakeupAt() {
        long wakeupAt = restoredEndpoints.isEmpty() ? emptyListHeldUntil : Math.min(emptyListHeldUntil, admitTrialsAt);
        for (RestoredEndpoint restored : restoredEndpoints.values()) {
            if (restored.state == RestoredEndpointState.EJECTED) {
                wakeupAt = Math.min(wakeupAt, restored.ejectedUntil);
            } else if (restored.state == RestoredEndpointState.HALF_OPEN
                    && restored.responses >= settings.requiredResponses()) {
                wakeupAt = Math.min(wakeupAt, restored.firstResponseAt + settings.warmUpNanos());
            }
        }
        return wakeupAt;
    }

    @Override
    public EndpointsUpdated onWakeup(long now) {
        if (now >= emptyListHeldUntil) {
            List<Endpoint> removed = restoredEndpoints.values().stream()
                    .map(restored -> restored.endpoint.asGone())
                    .toList();
            EndpointsUpdated update =
                    new EndpointsUpdated(EndpointUpdateKind.FILTERED, heldEmptyUpdate.version(), removed);
            acceptDiscovery("discovery still lists no target");
            return update;
        }
        return advance(now);
    }

    /** Moves on what the time and the answers allow, and shows what has changed by it. */
    private EndpointsUpdated advance(long now) {
        for (RestoredEndpoint restored : restoredEndpoints.values()) {
            if (restored.state == RestoredEndpointState.EJECTED && now >= restored.ejectedUntil) {
                restored.state = RestoredEndpointState.HALF_OPEN;
            } else if (restored.state == RestoredEndpointState.HALF_OPEN
                    && restored.responses >= settings.requiredResponses()
                    && now - restored.firstResponseAt >= settings.warmUpNanos()) {
                restored.state = RestoredEndpointState.HEALTHY;
            }
        }
        admitTrials(now);
        List<Endpoint> changed = new ArrayList<>();
        for (RestoredEndpoint restored : restoredEndpoints.values()) {
            if (restored.publishedLimit != pendingLimit(restored)) {
                changed.add(publish(restored));
            }
        }
        return changed.isEmpty() ? null : new EndpointsUpdated(EndpointUpdateKind.FILTERED, 0, changed);
    }

    /** Lets backends be tried, the likeliest first, while fewer are being tried without an answer than may be. */
    private void admitTrials(long now) {
        awaitingDiscovery &= now < admitTrialsAt;
        if (awaitingDiscovery) {
            return;
        }
        admitTrialsAt = NEVER;
        int maxTrials = Math.max(settings.minConcurrentTrials(), (int) Math.round(expectedEndpoints));
        long runningTrials = restoredEndpoints.values().stream()
                .filter(restored -> restored.state == RestoredEndpointState.HALF_OPEN && restored.responses == 0)
                .count();
        restoredEndpoints.values().stream()
                .filter(restored -> restored.state == RestoredEndpointState.RESTORED)
                .sorted(Comparator.comparingDouble((RestoredEndpoint restored) -> -restored.weight)
                        .thenComparingLong(restored -> restored.tieBreaker))
                .limit(Math.max(0, maxTrials - runningTrials))
                .toList()
                .forEach(restored -> restored.state = RestoredEndpointState.HALF_OPEN);
    }

    // ---- What the next step sees ----------------------------------------------------------------------

    private EndpointsUpdated limitRestored(EndpointsUpdated update, EndpointUpdateKind kind) {
        return new EndpointsUpdated(
                kind,
                update.version(),
                update.endpoints().stream()
                        .map(endpoint -> restoredEndpoints.containsKey(endpoint.id())
                                ? publish(restoredEndpoints.get(endpoint.id()))
                                : endpoint)
                        .toList());
    }

    private Endpoint publish(RestoredEndpoint restored) {
        restored.publishedLimit = pendingLimit(restored);
        return restored.endpoint.withCapacity(restored.publishedLimit);
    }

    /** How many of this node's requests may await their first token at the backend. */
    private int pendingLimit(RestoredEndpoint restored) {
        return switch (restored.state) {
            case RESTORED, EJECTED -> 0;
            case HALF_OPEN ->
                restored.weight >= FRESH_WEIGHT && restored.consecutiveFailures == 0
                        ? settings.instancePendingLimit()
                        : Math.min(settings.instancePendingLimit(), 1 + restored.responses);
            case HEALTHY -> Endpoint.UNLIMITED_CAPACITY;
        };
    }

    /** The weight of a memory: two to the power of minus its age in half-lives. A time to come tells no age. */
    double weight(long now, long endpointId) {
        long contactAt = lastContactAt.getOrDefault(endpointId, 0L);
        return contactAt <= 0 || contactAt > now
                ? UNKNOWN_AGE_WEIGHT
                : Math.pow(2, -(now - contactAt) / (double) settings.halfLifeNanos());
    }

    /** Backends in this state. */
    public long count(RestoredEndpointState state) {
        return restoredEndpoints.values().stream()
                .filter(restored -> restored.state == state)
                .count();
    }

    /** Where a backend stands, null if it is not on probation. */
    public RestoredEndpointState stateOf(long endpointId) {
        RestoredEndpoint restored = restoredEndpoints.get(endpointId);
        return restored == null ? null : restored.state;
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014): nodes with other seeds begin with other backends. */
    private static long mixBits(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
