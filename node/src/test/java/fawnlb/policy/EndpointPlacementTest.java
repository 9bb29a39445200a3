package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.idempotentSettings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The endpoint of a key depends on the listed ids alone, at every instance and in every order of the list. */
class EndpointPlacementTest {
    private static final int KEYS = 240;

    private static final List<EndpointId> IDS_THAT_END_ALIKE = List.of(
            EndpointId.of("s-0000000a"),
            EndpointId.of("t-0000000a"),
            EndpointId.of("regina-east-0000000a"),
            EndpointId.of("saskatoon-north-0000000a"),
            EndpointId.of("u-v-0000000a"),
            EndpointId.of("s-0000000b"),
            EndpointId.of("t-0000000b"),
            EndpointId.of("s-0000000B"));

    private static Endpoint endpoint(EndpointId id, EndpointPhase phase) {
        return new Endpoint(id, phase, 0, 1, 0, 0, 0);
    }

    private static Endpoint[] ready(List<EndpointId> ids) {
        return ids.stream().map(id -> endpoint(id, EndpointPhase.READY)).toArray(Endpoint[]::new);
    }

    private static LoadBalancerHarness instance(List<EndpointId> ids) {
        return new LoadBalancerHarness(idempotentSettings()).updateEndpoints(EndpointUpdateKind.FULL, ready(ids));
    }

    private static List<EndpointId> reversed(List<EndpointId> ids) {
        List<EndpointId> reversed = new ArrayList<>(ids);
        Collections.reverse(reversed);
        return reversed;
    }

    /** The endpoint of each key while nothing else is in flight. */
    private static List<EndpointId> endpointsOfKeys(LoadBalancerHarness instance) {
        List<EndpointId> endpoints = new ArrayList<>();
        for (int key = 1; key <= KEYS; key++) {
            instance.arrive(0, key);
            StartAttempt started = instance.lastAttempt();
            instance.endAttempt(started, 0, AttemptOutcome.SERVED, true);
            endpoints.add(started.endpointId());
        }
        return endpoints;
    }

    /** Guards against sessions that move with the instance: instances disagreed where the list's order differed. */
    @Test
    void orderOfTheListDoesNotMatter() {
        List<EndpointId> endpoints = endpointsOfKeys(instance(IDS_THAT_END_ALIKE));

        assertEquals(endpoints, endpointsOfKeys(instance(reversed(IDS_THAT_END_ALIKE))));
        assertEquals(new HashSet<>(IDS_THAT_END_ALIKE), new HashSet<>(endpoints));
    }

    @Test
    void instanceThatLearnedOfEndpointsOneByOneAgrees() {
        LoadBalancerHarness late = instance(IDS_THAT_END_ALIKE.subList(3, 4));
        for (EndpointId id : reversed(IDS_THAT_END_ALIKE)) {
            late.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.READY));
        }

        assertEquals(endpointsOfKeys(instance(IDS_THAT_END_ALIKE)), endpointsOfKeys(late));
    }

    /** Guards against drains and removals that move the keys of another endpoint, whose id ends alike. */
    @Test
    void keysOfOtherEndpointsStayWhenOneLeaves() {
        for (EndpointPhase phase : List.of(EndpointPhase.DRAINING, EndpointPhase.GONE)) {
            LoadBalancerHarness instance = instance(IDS_THAT_END_ALIKE);
            List<EndpointId> before = endpointsOfKeys(instance);
            EndpointId leaving = IDS_THAT_END_ALIKE.get(0);

            instance.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(leaving, phase));

            List<EndpointId> after = endpointsOfKeys(instance);
            for (int key = 0; key < KEYS; key++) {
                assertEquals(before.get(key).equals(leaving), !before.get(key).equals(after.get(key)), phase.name());
            }
        }
    }

    /** Two ids may have one hash: their endpoints stay two, share the keys, and their order is the same everywhere. */
    @Test
    void endpointsWithOneRingSeedStayTwoAndShareTheKeys() {
        EndpointId first = new EndpointId("s-1", 77);
        EndpointId second = new EndpointId("s-2", 77);
        List<EndpointId> ids = List.of(first, second, new EndpointId("s-3", 78));

        List<EndpointId> endpoints = endpointsOfKeys(instance(ids));

        assertEquals(endpoints, endpointsOfKeys(instance(reversed(ids))));
        assertTrue(Collections.frequency(endpoints, first) > KEYS / 8, endpoints::toString);
        assertTrue(Collections.frequency(endpoints, second) > KEYS / 8, endpoints::toString);
    }
}
