package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.Test;

public class EndpointSelectorTest {
    private static final long SESSION = 7;
    private final EndpointTable table = new EndpointTable(0);
    private final StreamPaceTracker pace = new StreamPaceTracker(table, 1);
    private final SlowStart slowStart = new SlowStart(new EndpointLifecycle(S, 10 * S, 0.2, 10 * S, 3, S), () -> 0.5);
    private final EndpointCapacity capacity =
            new EndpointCapacity(new OutlierDetector(), slowStart, new LatencyTracker(), new RolloutPredictor(), pace);

    private EndpointSelector selector(Costs costs) {
        return new EndpointSelector(
                table, new LoadBound(), new HotKeySpreader(), new ZoneAffinity(costs), capacity, pace);
    }

    private final EndpointSelector selector = selector(new Costs(0, 0));

    /** Lists endpoints of three zones by turns. */
    private void list(int count) {
        List<Endpoint> endpoints = LongStream.rangeClosed(1, count)
                .mapToObj(id -> new Endpoint(EndpointId.ofNumber(id), EndpointPhase.READY, 0, 1, (int) (id % 3), 0, 0))
                .toList();
        update(EndpointUpdateKind.FULL, endpoints);
    }

    private void update(EndpointUpdateKind kind, List<Endpoint> endpoints) {
        table.update(new EndpointsUpdated(kind, 1, endpoints), (known, listed) -> pace.onListed(known, listed.kind()));
        table.recount();
        pace.onReadyChanged(table.ready());
    }

    private EndpointState select(long session) {
        return selector.select(PolicyFixtures.request(session), NOW);
    }

    @Test
    public void noEndpointIsSelectedFromAnEmptyTable() {
        assertNull(select(SESSION));
    }

    @Test
    public void sessionKeepsItsEndpointWhileItIsBelowTheBound() {
        list(9);
        EndpointState first = select(SESSION);
        table.onAttemptStarted(first);
        assertSame(first, select(SESSION));
        table.onAttemptStarted(first);
        assertNotSame("two in flight are the bound", first, select(SESSION));
    }

    @Test
    public void firstEndpointThatMayTakeTheRequestIsUsedWhenAllAreAtTheBound() {
        list(3);
        EndpointState first = select(SESSION);
        for (int i = 0; i < 20; i++) {
            table.ready().forEach(table::onAttemptStarted);
        }
        assertSame(first, select(SESSION));
    }

    @Test
    public void retryGoesToAnotherEndpointUntilNoneIsLeft() {
        list(3);
        ActiveRequest request = PolicyFixtures.request(SESSION);
        Set<EndpointState> tried = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            EndpointState next = selector.select(request, NOW);
            assertTrue(tried.add(next));
            request.addAttempt(next, NOW);
        }
        assertNull(selector.select(request, NOW));
    }

    @Test
    public void drainingEndpointIsPassedOver() {
        list(9);
        EndpointState first = select(SESSION);
        update(
                EndpointUpdateKind.DELTA,
                List.of(new Endpoint(first.id, EndpointPhase.DRAINING, 0, 1, first.zone, 0, 0)));
        assertNotSame(first, select(SESSION));
    }

    @Test
    public void sessionsThatPreferTheirZoneStayThereUnlessNoneMayTakeThem() {
        list(9);
        EndpointSelector costly = selector(new Costs(1, 0));
        ZoneAffinity affinity = new ZoneAffinity(new Costs(1, 0));
        long session = LongStream.range(1, 100)
                .filter(candidate -> affinity.prefersLocalZone(candidate, table))
                .findFirst()
                .orElseThrow();
        assertEquals(0, costly.select(PolicyFixtures.request(session), NOW).zone);
        table.ready().stream().filter(table::isLocal).forEach(local -> local.capacity = 0);
        assertTrue(costly.select(PolicyFixtures.request(session), NOW).zone != 0);
    }
}
