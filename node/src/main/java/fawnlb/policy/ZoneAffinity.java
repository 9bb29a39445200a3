package fawnlb.policy;

import fawnlb.decision.LoadBalancerSettings.Costs;

/**
 * Keeps a fraction of the sessions in this instance's own zone where crossing zones costs more than wasted work. The
 * fraction is small enough that a zone which has all of the clients is loaded no more than half above the mean.
 */
final class ZoneAffinity {
    /** By how much the load of the busiest zone may exceed the mean. */
    static final double MAX_ZONE_EXCESS = 0.5;

    private final boolean enabled;

    ZoneAffinity(Costs costs) {
        this.enabled = costs.crossZone() > costs.wastedWork();
    }

    /** Whether a session is to stay in this instance's zone, as long as an endpoint there may take its request. */
    boolean prefersLocalZone(long sessionKey, EndpointTable endpoints) {
        int zones = endpoints.zoneCount();
        return enabled
                && endpoints.localReadyCount() > 0
                && zones > 1
                && SplitMix64.toUnitInterval(~sessionKey) < MAX_ZONE_EXCESS / (zones - 1);
    }
}
