package fawnlb.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerAction.FailRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests with idempotency keys while the endpoint list changes under their attempts. */
class ChangedGroupTest {
    private static final Group GROUP = new Group(0, 3);
    private static final Group OTHER_ZONE = new Group(1, 3);
    private static final Group OTHER_CELL = new Group(0, 4);
    private static final int SESSIONS = 40;

    /** The zone and the cell of endpoints. */
    private record Group(int zone, int cell) {}

    private static Endpoint ready(EndpointId id, Group group) {
        return new Endpoint(id, EndpointPhase.READY, 0, 1, group.zone(), group.cell(), 0);
    }

    private static LoadBalancerHarness instance(IdempotencyScope scope, Endpoint... endpoints) {
        return LoadBalancerHarness.withEndpoints(0, Idempotency.IDEMPOTENCY_KEY, scope)
                .updateEndpoints(EndpointUpdateKind.FULL, endpoints);
    }

    @Test
    void zoneOfAnAttemptIsTheOneThatItsEndpointHadAtItsStart() {
        assertRepeatedInTheGroupOfTheFirstAttempt(IdempotencyScope.ZONE, OTHER_ZONE);
    }

    @Test
    void cellOfAnAttemptIsTheOneThatItsEndpointHadAtItsStart() {
        assertRepeatedInTheGroupOfTheFirstAttempt(IdempotencyScope.CELL, OTHER_CELL);
    }

    /**
     * Guards against requests that run in two groups: the group that an endpoint has when its attempt ends counted for
     * the one in which the request may have run.
     */
    private static void assertRepeatedInTheGroupOfTheFirstAttempt(IdempotencyScope scope, Group otherGroup) {
        List<EndpointId> members = List.of(EndpointId.of("a"), EndpointId.of("b"));
        List<EndpointId> others = List.of(EndpointId.of("c"), EndpointId.of("d"));
        int repeats = 0;
        for (int session = 1; session <= SESSIONS; session++) {
            LoadBalancerHarness instance = instance(
                    scope,
                    ready(members.get(0), GROUP),
                    ready(members.get(1), GROUP),
                    ready(others.get(0), otherGroup),
                    ready(others.get(1), otherGroup));
            instance.arrive(0, session);
            EndpointId first = instance.lastAttempt().endpointId();
            boolean isMember = members.contains(first);
            instance.updateEndpoints(EndpointUpdateKind.DELTA, ready(first, isMember ? otherGroup : GROUP));

            instance.endAttempt(instance.lastAttempt(), 0, AttemptOutcome.ERROR, false);

            repeats += instance.startedAttempts().size() - 1;
            EndpointId last = instance.lastAttempt().endpointId();
            assertEquals(isMember, members.contains(last), first + ", then " + last);
        }
        assertEquals(SESSIONS, repeats);
    }

    /**
     * Guards against requests that run twice in a process that was taken for the one that had gone: an endpoint that
     * left the list and came back was no longer known as one whose connection had broken.
     */
    @Test
    void endpointThatComesBackIsStillTheOneWhoseConnectionBroke() {
        EndpointId a = EndpointId.of("a");
        EndpointId b = EndpointId.of("b");
        LoadBalancerHarness instance = instance(IdempotencyScope.ZONE, ready(a, GROUP), ready(b, GROUP));
        instance.arrive(0, 9);
        EndpointId first = instance.lastAttempt().endpointId();
        instance.endAttempt(instance.lastAttempt(), 0, AttemptOutcome.RESET, false);
        assertNotEquals(first, instance.lastAttempt().endpointId());
        instance.updateEndpoints(EndpointUpdateKind.DELTA, ready(first, GROUP).asGone());
        instance.updateEndpoints(EndpointUpdateKind.DELTA, ready(first, GROUP));

        instance.endAttempt(instance.lastAttempt(), 1, AttemptOutcome.ERROR, false);

        assertEquals(2, instance.startedAttempts().size());
        assertEquals(1, instance.actionsOf(FailRequest.class).size());
    }
}
