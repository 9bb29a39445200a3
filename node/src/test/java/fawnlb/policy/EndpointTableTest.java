package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class EndpointTableTest {
    private static final int LOCAL_ZONE = 1;
    private final EndpointTable table = new EndpointTable(LOCAL_ZONE);

    private static Endpoint listed(long id, EndpointPhase phase) {
        return new Endpoint(EndpointId.ofNumber(id), phase, 0, 1, (int) (id % 3), 0, 0);
    }

    private static Endpoint ready(long id) {
        return listed(id, EndpointPhase.READY);
    }

    private void update(EndpointUpdateKind kind, Endpoint... endpoints) {
        table.update(new EndpointsUpdated(kind, 1, List.of(endpoints)), (known, listed) -> {});
        table.recount();
    }

    private EndpointState endpoint(long id) {
        return table.ready().stream()
                .filter(endpoint -> endpoint.id.equals(EndpointId.ofNumber(id)))
                .findFirst()
                .orElseThrow();
    }

    private int pointsInEndpoints() {
        return table.ring().size() / HashRing.POINTS_PER_ENDPOINT;
    }

    @Test
    public void readyEndpointsAreCountedInAllAndInTheLocalZone() {
        update(EndpointUpdateKind.FULL, ready(1), ready(2), ready(4), listed(7, EndpointPhase.DRAINING));
        assertEquals(3, table.readyCount());
        assertEquals(2, table.localReadyCount());
        assertEquals(2, table.zoneCount());
        assertEquals("draining endpoints keep their points", 4, pointsInEndpoints());
    }

    @Test
    public void completeListsRemoveWhatTheyLeaveOutAndChangesDoNot() {
        update(EndpointUpdateKind.FULL, ready(1), ready(2), ready(3));
        update(EndpointUpdateKind.DELTA, ready(4));
        assertEquals(4, table.readyCount());
        update(EndpointUpdateKind.FILTERED, listed(4, EndpointPhase.GONE));
        assertEquals(3, table.readyCount());
        update(EndpointUpdateKind.CACHED, ready(2));
        assertEquals(1, table.readyCount());
        assertEquals(1, pointsInEndpoints());
    }

    @Test
    public void endpointThatJoinsAndLeavesInOneUpdateLeavesNothing() {
        update(EndpointUpdateKind.DELTA, ready(1), listed(1, EndpointPhase.GONE));
        assertEquals(0, table.readyCount());
        assertEquals(0, pointsInEndpoints());
    }

    @Test
    public void goneEndpointIsTheSameOneWhenItReturnsWithAttemptsInFlight() {
        update(EndpointUpdateKind.FULL, ready(1), ready(2));
        EndpointState before = endpoint(1);
        table.onAttemptStarted(before);
        update(EndpointUpdateKind.DELTA, listed(1, EndpointPhase.GONE));
        update(EndpointUpdateKind.DELTA, ready(1));
        assertTrue(endpoint(1) == before);
        table.onAttemptEnded(before);
        update(EndpointUpdateKind.DELTA, listed(1, EndpointPhase.GONE));
        update(EndpointUpdateKind.DELTA, ready(1));
        assertFalse("forgotten without attempts", endpoint(1) == before);
    }

    /**
     * An attempt that breaks after the removal must not be repeated in another zone, whatever the removal's entry has.
     */
    @Test
    public void goneEndpointKeepsItsZoneAndCell() {
        update(EndpointUpdateKind.FULL, new Endpoint(EndpointId.ofNumber(5), EndpointPhase.READY, 0, 1, 2, 9, 0));
        EndpointState removed = endpoint(5);
        table.onAttemptStarted(removed);
        update(EndpointUpdateKind.DELTA, new Endpoint(EndpointId.ofNumber(5), EndpointPhase.GONE, 0, 1, 0, 0, 0));
        assertTrue(removed.isGone());
        assertEquals(2, removed.zone);
        assertEquals(9, removed.cell);
    }

    @Test
    public void attemptsInFlightAreCountedInAllAndInTheLocalZone() {
        update(EndpointUpdateKind.FULL, ready(1), ready(2));
        table.onAttemptStarted(endpoint(1));
        table.onAttemptStarted(endpoint(2));
        table.onAttemptStarted(endpoint(2));
        assertEquals(3, table.inFlight());
        assertEquals(1, table.localInFlight());
        table.onAttemptEnded(endpoint(1));
        table.recount();
        assertEquals(2, table.inFlight());
        assertEquals(0, table.localInFlight());
    }

    @Test
    public void warmCountLeavesOutSlowStartUnlessAllAreInIt() {
        update(EndpointUpdateKind.FULL, ready(1), ready(2));
        endpoint(1).inSlowStart = true;
        table.recount();
        assertEquals(1, table.warmCount());
        assertFalse(table.areAllInSlowStart());
        endpoint(2).inSlowStart = true;
        table.recount();
        assertEquals(2, table.warmCount());
        assertTrue(table.areAllInSlowStart());
    }

    @Test
    public void medianIsTheUpperOneOfTheReadyEndpoints() {
        assertEquals(0, table.readyMedian(endpoint -> 5), 0);
        update(EndpointUpdateKind.FULL, ready(10), ready(30), ready(20), ready(40), listed(1, EndpointPhase.DRAINING));
        assertEquals(30, table.readyMedian(endpoint -> endpoint.id.ringSeed()), 0);
    }

    @Test
    public void listenerSeesEachEntryBeforeItIsTakenOver() {
        update(EndpointUpdateKind.FULL, ready(1));
        List<EndpointPhase> before = new ArrayList<>();
        EndpointsUpdated drain =
                new EndpointsUpdated(EndpointUpdateKind.DELTA, 2, List.of(listed(1, EndpointPhase.DRAINING), ready(2)));
        table.update(drain, (known, listed) -> before.add(known.phase));
        assertEquals(List.of(EndpointPhase.READY, EndpointPhase.GONE), before);
    }
}
