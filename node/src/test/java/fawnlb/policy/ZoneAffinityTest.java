package fawnlb.policy;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerSettings.Costs;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.Test;

public class ZoneAffinityTest {
    private static final Costs CROSSING_IS_DEAR = new Costs(0.08, 0.05);
    private static final Costs CROSSING_IS_CHEAP = new Costs(0.05, 0.08);

    private static EndpointTable table(int localZone, int zones) {
        EndpointTable table = new EndpointTable(localZone);
        List<Endpoint> endpoints = LongStream.range(0, 12)
                .mapToObj(id ->
                        new Endpoint(EndpointId.ofNumber(id), EndpointPhase.READY, 0, 1, (int) (id % zones), 0, 0))
                .toList();
        table.update(new EndpointsUpdated(EndpointUpdateKind.FULL, 1, endpoints), (known, listed) -> {});
        table.recount();
        return table;
    }

    /** The fraction of sessions that stay in their zone. */
    private static double localFraction(Costs costs, EndpointTable table) {
        ZoneAffinity affinity = new ZoneAffinity(costs);
        return LongStream.range(0, 10_000)
                        .filter(session -> affinity.prefersLocalZone(session, table))
                        .count()
                / 10_000.0;
    }

    @Test
    public void fractionOfSessionsStaysWhereCrossingCostsMore() {
        assertEquals(0.5, localFraction(CROSSING_IS_DEAR, table(0, 2)), 0.02);
        assertEquals(0.25, localFraction(CROSSING_IS_DEAR, table(0, 3)), 0.02);
    }

    @Test
    public void noSessionStaysWhereCrossingCostsLessOrNothing() {
        assertEquals(0, localFraction(CROSSING_IS_CHEAP, table(0, 3)), 0);
        assertEquals(0, localFraction(new Costs(0, 0), table(0, 3)), 0);
    }

    @Test
    public void noSessionStaysWithoutLocalEndpointsOrOtherZones() {
        assertEquals(0, localFraction(CROSSING_IS_DEAR, table(5, 3)), 0);
        assertEquals(0, localFraction(CROSSING_IS_DEAR, table(0, 1)), 0);
    }

    @Test
    public void sessionsKeepTheirChoice() {
        ZoneAffinity affinity = new ZoneAffinity(CROSSING_IS_DEAR);
        EndpointTable table = table(0, 2);
        for (long session = 0; session < 100; session++) {
            boolean isLocal = affinity.prefersLocalZone(session, table);
            assertEquals(isLocal, affinity.prefersLocalZone(session, table));
        }
    }
}
