package fawnlb.policy;

import fawnlb.decision.LoadBalancerSettings.Tenant;
import java.util.List;

/**
 * Shares the rejections among tenants. When requests are shed, a tenant that sends more than its share of this
 * instance's requests bears more of it, and one that sends less bears less, by the square of the ratio. Tenants without
 * a share and tenants that the settings don't name bear what all bear.
 */
final class TenantQuotas {
    /** Requests over which a tenant's fraction of the traffic is averaged. */
    private static final int TRAFFIC_SAMPLES = 256;

    private final List<Tenant> tenants;
    private final double[] trafficFractions;

    /** Creates one that believes each tenant to send its share. */
    TenantQuotas(List<Tenant> tenants) {
        this.tenants = tenants;
        this.trafficFractions = tenants.stream().mapToDouble(Tenant::share).toArray();
    }

    /** Notes a request of a tenant. */
    void recordRequest(int tenantIndex) {
        for (int i = 0; i < trafficFractions.length; i++) {
            trafficFractions[i] += ((i == tenantIndex ? 1 : 0) - trafficFractions[i]) / TRAFFIC_SAMPLES;
        }
    }

    /** By how much the fraction of requests that is shed is multiplied for a tenant. */
    double shedFactor(int tenantIndex) {
        boolean known = tenantIndex >= 0 && tenantIndex < trafficFractions.length;
        if (!known || tenants.get(tenantIndex).share() <= 0) {
            return 1;
        }
        double ratio = trafficFractions[tenantIndex] / tenants.get(tenantIndex).share();
        return ratio * ratio;
    }
}
