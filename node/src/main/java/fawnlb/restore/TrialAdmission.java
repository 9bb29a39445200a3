package fawnlb.restore;

import fawnlb.filter.EndpointFilter;
import java.util.Collection;
import java.util.Comparator;

/**
 * Decides when restored endpoints are tried, and how many at once. None is tried before discovery has answered or
 * failed: the address of one may belong to another server by now, and an instance may send only to what its list has
 * named. Then as many are tried as are expected to be there, those that were heard of last first.
 */
final class TrialAdmission {

    private static final Comparator<RestoredEndpoint> LIKELIEST_FIRST = Comparator.comparingDouble(
                    (RestoredEndpoint restored) -> -restored.weight())
            .thenComparingLong(RestoredEndpoint::tieBreaker);

    private final int minConcurrentTrials;
    private boolean awaitingDiscovery;
    private long awaitingSince;
    private long admitAt = EndpointFilter.NEVER;
    private double expectedEndpoints;

    TrialAdmission(int minConcurrentTrials) {
        this.minConcurrentTrials = minConcurrentTrials;
    }

    /** Starts the wait for discovery; the endpoints are those that were restored. */
    void start(long now, Collection<RestoredEndpoint> endpoints) {
        awaitingDiscovery = true;
        awaitingSince = now;
        expectedEndpoints =
                endpoints.stream().mapToDouble(RestoredEndpoint::weight).sum();
    }

    /** The sum of the endpoints' weights: how many of them are expected to be there. */
    double expectedEndpoints() {
        return expectedEndpoints;
    }

    /** A call to discovery has failed, so that its list is not waited for. */
    void onDiscoveryFailed(long now) {
        admitAt = awaitingDiscovery ? now : admitAt;
        awaitingDiscovery = false;
    }

    /**
     * Discovery is up and has too many calls: it may answer the next one, and what it says holds for this instance by
     * then.
     */
    void onDiscoveryThrottled(long now) {
        admitAt = awaitingDiscovery
                ? Math.max(now, awaitingSince + RestoredEndpointFilter.MAX_THROTTLED_WAIT_NANOS)
                : admitAt;
    }

    /** When {@link #admit} is to be called next, {@link EndpointFilter#NEVER} if only an event can change anything. */
    long nextAdmissionAt() {
        return admitAt;
    }

    /** Starts trials while fewer endpoints are being tried without a response than may be. */
    void admit(long now, Collection<RestoredEndpoint> endpoints) {
        awaitingDiscovery &= now < admitAt;
        if (awaitingDiscovery) {
            return;
        }
        admitAt = EndpointFilter.NEVER;
        int maxTrials = Math.max(minConcurrentTrials, (int) Math.round(expectedEndpoints));
        long runningTrials = endpoints.stream()
                .filter(RestoredEndpoint::isAwaitingFirstResponse)
                .count();
        endpoints.stream()
                .filter(restored -> restored.state() == RestoredEndpointState.RESTORED)
                .sorted(LIKELIEST_FIRST)
                .limit(Math.max(0, maxTrials - runningTrials))
                .toList()
                .forEach(RestoredEndpoint::startTrial);
    }
}
