package fawnlb.policy;

/**
 * Selects the endpoint of a request's next attempt by consistent hashing with bounded loads: the request's key is
 * hashed onto a ring of endpoints, and the first one clockwise is used that may take the request and is below its
 * bound.
 */
final class EndpointSelector {
    private final EndpointTable endpoints;
    private final LoadBound bound;
    private final HotKeySpreader spreader;
    private final ZoneAffinity zoneAffinity;
    private final EndpointCapacity capacity;
    private final StreamPaceTracker pace;

    EndpointSelector(
            EndpointTable endpoints,
            LoadBound bound,
            HotKeySpreader spreader,
            ZoneAffinity zoneAffinity,
            EndpointCapacity capacity,
            StreamPaceTracker pace) {
        this.endpoints = endpoints;
        this.bound = bound;
        this.spreader = spreader;
        this.zoneAffinity = zoneAffinity;
        this.capacity = capacity;
        this.pace = pace;
    }

    /** The endpoint for the next attempt; null if none may take the request now. */
    EndpointState select(ActiveRequest request, long now) {
        EndpointState local = zoneAffinity.prefersLocalZone(request.sessionKey, endpoints)
                ? selectWithin(Scope.LOCAL_ZONE, request, now)
                : null;
        return local != null ? local : selectWithin(Scope.ALL_ZONES, request, now);
    }

    /** Which endpoints are met on the ring and counted for the bound. */
    private enum Scope {
        ALL_ZONES,
        LOCAL_ZONE
    }

    private EndpointState selectWithin(Scope scope, ActiveRequest request, long now) {
        boolean isLocal = scope == Scope.LOCAL_ZONE;
        int sharers = isLocal ? endpoints.localReadyCount() : endpoints.warmCount();
        long limit = bound.limit(isLocal ? endpoints.localInFlight() : endpoints.inFlight(), sharers);
        long key = spreader.ringKey(request, sharers);
        return endpoints.ring().size() == 0 ? null : walk(scope, request, key, limit, now);
    }

    /**
     * Walks clockwise from a key to the first endpoint that may take the request and is below its bound; else returns
     * the first that may take it, or null.
     */
    private EndpointState walk(Scope scope, ActiveRequest request, long key, long limit, long now) {
        HashRing<EndpointState> ring = endpoints.ring();
        boolean isLocal = scope == Scope.LOCAL_ZONE;
        double fastestKind = pace.fastestKind();
        EndpointState fallback = null;
        long pass = endpoints.nextPass();
        int left = isLocal ? endpoints.localReadyCount() : endpoints.readyCount();
        int index = ring.firstIndexFor(key);
        for (int seen = 0; seen < ring.size() && left > 0; seen++) {
            EndpointState endpoint = ring.endpointAt(index);
            index = index + 1 == ring.size() ? 0 : index + 1;
            if (endpoint.lastPass == pass || !isWithin(scope, endpoint)) {
                continue;
            }
            endpoint.lastPass = pass;
            left--;
            if (!mayTake(endpoint, request, now)) {
                continue;
            }
            boolean isBelowBound = endpoint.inFlight < capacity.limit(endpoint, limit, request, now);
            if (isBelowBound && pace.keepsKey(endpoint, key, fastestKind)) {
                recordSpill(request, fallback != null);
                return endpoint;
            }
            fallback = fallback == null ? endpoint : fallback;
        }
        return fallback;
    }

    private boolean isWithin(Scope scope, EndpointState endpoint) {
        return endpoint.isReady() && (scope == Scope.ALL_ZONES || endpoints.isLocal(endpoint));
    }

    private boolean mayTake(EndpointState endpoint, ActiveRequest request, long now) {
        return IdempotencyRules.permits(request, endpoint, now)
                && !request.wasTriedOn(endpoint)
                && capacity.isAvailable(endpoint, endpoints.zoneCount(), now);
    }

    /** Only first attempts tell of saturation: a retry leaves its first endpoint for another reason. */
    private void recordSpill(ActiveRequest request, boolean spilled) {
        if (request.attemptCount() > 0) {
            return;
        }
        if (spilled) {
            bound.recordSpilled();
        } else {
            bound.recordPlaced();
        }
    }
}
