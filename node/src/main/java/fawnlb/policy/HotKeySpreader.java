package fawnlb.policy;

/**
 * Spreads hot prefixes over several places on the hash ring. One prefix that draws more than the bound lets an endpoint
 * carry would be spilled by every instance to the same neighbors. While a prefix draws more than
 * {@link #MAX_SHARE_PER_PLACE} of an endpoint's share of the recent work, its sessions are divided over as many places
 * as keep each of them below that; each place reads the prefix once.
 */
final class HotKeySpreader {
    /** Four places that fall on one endpoint by chance make up its share; measured on the first site. */
    static final double MAX_SHARE_PER_PLACE = 0.25;
    /**
     * A share that was seen in this many requests is believed by half. It does not grow with the fleet, since what one
     * instance sees doesn't, and all of them together would leave a hot prefix in one place.
     */
    static final double PRIOR_REQUESTS = 16;
    /** Places collide by chance: from this fraction of the endpoints on, each session is a place of its own. */
    static final double MAX_PLACES_FRACTION = 0.25;
    /** Requests that are tracked for each endpoint; measured on the first site. */
    static final int RECENT_REQUESTS_PER_ENDPOINT = 8;
    /** Small fleets are taken for this many endpoints, so that enough requests are tracked. */
    static final int MIN_ENDPOINTS_FOR_RECENT_REQUESTS = 16;

    private final RecentKeys recent = new RecentKeys();

    /** Remembers a request that has arrived. */
    void record(ActiveRequest request, int readyEndpoints) {
        int maxRequests = RECENT_REQUESTS_PER_ENDPOINT * Math.max(MIN_ENDPOINTS_FOR_RECENT_REQUESTS, readyEndpoints);
        recent.add(request.placementKey, request.work, maxRequests);
    }

    /** The key by which a request is placed on the ring, given how many endpoints there are. */
    long ringKey(ActiveRequest request, int endpoints) {
        long places = places(request, endpoints);
        long place = SplitMix64.mix(~request.sessionKey) & places - 1;
        if (places > 1 && places >= MAX_PLACES_FRACTION * endpoints) {
            return request.sessionKey;
        }
        return place == 0 ? request.placementKey : SplitMix64.mix(request.placementKey + place);
    }

    /** The number of places, a power of two so that sessions keep theirs as it grows. */
    private long places(ActiveRequest request, int endpoints) {
        double needed = neededPlaces(request, endpoints);
        long places = 1;
        while (places < needed) {
            places *= 2;
        }
        return places;
    }

    private double neededPlaces(ActiveRequest request, int endpoints) {
        boolean hasKnownPrefix = request.hasPrefix() && recent.contains(request.placementKey);
        if (!hasKnownPrefix) {
            return 1;
        }
        double seen = recent.size();
        return recent.workFraction(request.placementKey)
                * endpoints
                / MAX_SHARE_PER_PLACE
                * seen
                / (seen + PRIOR_REQUESTS);
    }
}
