package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.LoadBalancerSettings.Tenant;
import java.util.List;
import org.junit.Test;

public class TenantQuotasTest {
    private final TenantQuotas quotas =
            new TenantQuotas(List.of(new Tenant(0.5, 10), new Tenant(0.25, 10), new Tenant(0, 10)));

    private void record(int tenant, int requests) {
        for (int i = 0; i < requests; i++) {
            quotas.recordRequest(tenant);
        }
    }

    @Test
    public void tenantsBearTheirPartBeforeAnyRequest() {
        assertEquals(1, quotas.shedFactor(0), 1e-9);
        assertEquals(1, quotas.shedFactor(1), 1e-9);
    }

    @Test
    public void tenantAboveItsShareBearsMoreByTheSquareAndOthersLess() {
        record(1, 5000);
        assertEquals(16, quotas.shedFactor(1), 0.01);
        assertTrue(quotas.shedFactor(0) < 0.01);
    }

    @Test
    public void tenantsWithoutShareAndUnknownOnesBearWhatAllBear() {
        record(2, 5000);
        assertEquals(1, quotas.shedFactor(2), 0);
        assertEquals(1, quotas.shedFactor(3), 0);
        assertEquals(1, quotas.shedFactor(-1), 0);
    }
}
