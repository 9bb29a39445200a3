package fawnlb.restore;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.filter.EndpointFilter;
import fawnlb.metrics.LogLine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Limits what is sent to restored endpoints until discovery has answered. Each counts as being in slow start until it
 * has responded: a few requests of this instance may wait there for their first token and no more, so that its own
 * responses pace what is sent to it. Requests whose response has started do not count, since they are no new work. What
 * discovery says replaces all of it at once.
 *
 * <p>{@link RestoredEndpointState} has the states of an endpoint, and {@link TrialAdmission} decides which are tried.
 */
public final class RestoredEndpointFilter implements EndpointFilter {
    /**
     * How long an instance waits for a discovery that rejects its calls because it has too many of them, in
     * nanoseconds.
     */
    public static final long MAX_THROTTLED_WAIT_NANOS = 4_000_000_000L;

    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final RestoreSettings settings;
    private final long seed;
    private final ContactAgeWeights weights;
    private final Consumer<String> log;
    private final TrialAdmission admission;
    private final EmptyListHold emptyListHold;
    private final Map<EndpointId, RestoredEndpoint> restoredEndpoints = new LinkedHashMap<>();
    private boolean discoveryAnswered;

    /**
     * Creates a filter that has restored nothing yet; the endpoints come as the endpoint list of the kind CACHED.
     *
     * @param seed decides which of equally likely endpoints are tried first, so that instances differ
     * @param lastContactAt when each endpoint was last listed or has last responded, in nanoseconds on the instance's
     *     clock; 0 or absent if unknown
     * @param log takes a line for the log
     */
    public RestoredEndpointFilter(
            RestoreSettings settings, long seed, Map<EndpointId, Long> lastContactAt, Consumer<String> log) {
        this.settings = settings;
        this.seed = seed;
        this.weights = new ContactAgeWeights(settings.halfLifeNanos(), lastContactAt);
        this.log = log;
        this.admission = new TrialAdmission(settings.minConcurrentTrials());
        this.emptyListHold = new EmptyListHold(settings.emptyListHoldNanos());
    }

    @Override
    public EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update) {
        return switch (update.kind()) {
            case CACHED -> onCachedList(now, update);
            case FULL -> onFullList(now, update);
            case DELTA -> onChanges(update);
            case FAILED, TIMED_OUT -> {
                admission.onDiscoveryFailed(now);
                yield update;
            }
            case THROTTLED -> {
                admission.onDiscoveryThrottled(now);
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
                restoredEndpoints.put(endpoint.id(), restore(now, endpoint));
            }
        }
        admission.start(now, restoredEndpoints.values());
        admission.admit(now, restoredEndpoints.values());
        if (!restoredEndpoints.isEmpty()) {
            log.accept(LogLine.event("starting from restored endpoints")
                    .with("restored", restoredEndpoints.size())
                    .with("expected", Math.round(admission.expectedEndpoints()))
                    .toString());
        }
        return limitRestored(update);
    }

    private RestoredEndpoint restore(long now, Endpoint endpoint) {
        return new RestoredEndpoint(
                endpoint,
                weights.weight(now, endpoint.id()),
                mixBits(endpoint.id().ringSeed() ^ seed),
                settings);
    }

    private EndpointsUpdated limitRestored(EndpointsUpdated update) {
        List<Endpoint> endpoints = update.endpoints().stream()
                .map(endpoint -> restoredEndpoints.containsKey(endpoint.id())
                        ? restoredEndpoints.get(endpoint.id()).publish()
                        : endpoint)
                .toList();
        return new EndpointsUpdated(update.kind(), update.version(), endpoints);
    }

    private EndpointsUpdated onFullList(long now, EndpointsUpdated update) {
        if (namesNobody(update) && mayHoldEmptyList()) {
            if (!emptyListHold.isActive()) {
                log.accept(LogLine.event("empty list from discovery held")
                        .with("hold_ms", emptyListHold.holdNanos() / NANOS_PER_MILLISECOND)
                        .toString());
            }
            emptyListHold.hold(now, update);
            // The call has succeeded, and nothing has changed yet.
            return new EndpointsUpdated(EndpointUpdateKind.DELTA, update.version(), List.of());
        }
        releaseAll(releaseLine("whole list").with("listed", update.endpoints().size()));
        return update;
    }

    private boolean mayHoldEmptyList() {
        return emptyListHold.isEnabled()
                && (emptyListHold.isActive() || !discoveryAnswered && !restoredEndpoints.isEmpty());
    }

    private static boolean namesNobody(EndpointsUpdated update) {
        return update.endpoints().stream().allMatch(endpoint -> endpoint.phase() == EndpointPhase.GONE);
    }

    /** Discovery answers from the revision that this instance held: what it does not name is as it was. */
    private EndpointsUpdated onChanges(EndpointsUpdated update) {
        if (emptyListHold.isActive() && namesNobody(update)) {
            return update;
        }
        List<Endpoint> endpoints =
                emptyListHold.isActive() ? withoutUnnamedEndpoints(update) : withUnnamedEndpoints(update);
        releaseAll(releaseLine("changes"));
        return new EndpointsUpdated(update.kind(), update.version(), endpoints);
    }

    /** Adds the restored endpoints that are not named, without their limits. */
    private List<Endpoint> withUnnamedEndpoints(EndpointsUpdated update) {
        Set<EndpointId> namedIds = update.endpoints().stream().map(Endpoint::id).collect(Collectors.toSet());
        List<Endpoint> endpoints = new ArrayList<>(update.endpoints());
        restoredEndpoints.values().stream()
                .map(RestoredEndpoint::endpoint)
                .filter(endpoint -> !namedIds.contains(endpoint.id()))
                .forEach(endpoints::add);
        return endpoints;
    }

    /** The endpoint list that is held was empty: now that there is another endpoint, all that it left out are gone. */
    private List<Endpoint> withoutUnnamedEndpoints(EndpointsUpdated update) {
        Set<EndpointId> presentIds = update.endpoints().stream()
                .filter(endpoint -> endpoint.phase() != EndpointPhase.GONE)
                .map(Endpoint::id)
                .collect(Collectors.toSet());
        List<Endpoint> endpoints = new ArrayList<>(update.endpoints());
        endpoints.addAll(restoredAsGone());
        endpoints.removeIf(endpoint -> endpoint.phase() == EndpointPhase.GONE && presentIds.contains(endpoint.id()));
        return endpoints;
    }

    private List<Endpoint> restoredAsGone() {
        return restoredEndpoints.values().stream()
                .map(restored -> restored.endpoint().asGone())
                .toList();
    }

    /** The reason is what discovery has sent. */
    private static LogLine releaseLine(String reason) {
        return LogLine.event("restored endpoints released").reason(reason);
    }

    /** From here on discovery alone says what is there. */
    private void releaseAll(LogLine line) {
        if (!discoveryAnswered && !restoredEndpoints.isEmpty()) {
            log.accept(line.with("restored", restoredEndpoints.size())
                    .with("healthy", count(RestoredEndpointState.HEALTHY))
                    .with("ejected", count(RestoredEndpointState.EJECTED))
                    .toString());
        }
        discoveryAnswered = true;
        restoredEndpoints.clear();
        emptyListHold.release();
    }

    @Override
    public EndpointsUpdated onEvent(long now, LoadBalancerEvent event) {
        if (restoredEndpoints.isEmpty()) {
            return null;
        }
        if (event instanceof ResponseStarted started) {
            onResponse(now, started);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(now, ended);
        } else {
            return null;
        }
        return advance(now);
    }

    private void onResponse(long now, ResponseStarted started) {
        RestoredEndpoint restored = restoredEndpoints.get(started.endpointId());
        if (restored != null) {
            restored.onResponse(now);
        }
    }

    private void onAttemptEnded(long now, AttemptEnded ended) {
        RestoredEndpoint restored = restoredEndpoints.get(ended.endpointId());
        if (restored != null) {
            restored.onAttemptEnded(now, ended.outcome());
        }
    }

    @Override
    public long nextWakeupAt() {
        long wakeupAt = emptyListHold.heldUntil();
        if (!restoredEndpoints.isEmpty()) {
            wakeupAt = Math.min(wakeupAt, admission.nextAdmissionAt());
        }
        for (RestoredEndpoint restored : restoredEndpoints.values()) {
            wakeupAt = Math.min(wakeupAt, restored.nextTransitionAt());
        }
        return wakeupAt;
    }

    @Override
    public EndpointsUpdated onWakeup(long now) {
        if (now < emptyListHold.heldUntil()) {
            return advance(now);
        }
        EndpointsUpdated update =
                new EndpointsUpdated(EndpointUpdateKind.FILTERED, emptyListHold.heldVersion(), restoredAsGone());
        releaseAll(releaseLine("empty list"));
        return update;
    }

    /** Makes the transitions that are due, starts trials, and shows the limits that have changed by it. */
    private EndpointsUpdated advance(long now) {
        restoredEndpoints.values().forEach(restored -> restored.advance(now));
        admission.admit(now, restoredEndpoints.values());
        List<Endpoint> changed = restoredEndpoints.values().stream()
                .filter(RestoredEndpoint::hasUnpublishedLimit)
                .map(RestoredEndpoint::publish)
                .toList();
        return changed.isEmpty() ? null : new EndpointsUpdated(EndpointUpdateKind.FILTERED, 0, changed);
    }

    /** How many restored endpoints are in this state. */
    public long count(RestoredEndpointState state) {
        return restoredEndpoints.values().stream()
                .filter(restored -> restored.state() == state)
                .count();
    }

    /** The state of an endpoint; null if it was not restored, or discovery has answered. */
    public RestoredEndpointState stateOf(EndpointId endpointId) {
        RestoredEndpoint restored = restoredEndpoints.get(endpointId);
        return restored == null ? null : restored.state();
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014): instances with other seeds try other endpoints first. */
    private static long mixBits(long bits) {
        long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
