package fawnlb.server;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.ManualTimers;
import fawnlb.platform.Readiness;
import fawnlb.restore.RestoredEndpointFilter;
import org.junit.Test;

public class ReadinessGateTest {
    private final ManualTimers timers = new ManualTimers(1_000_000_000_000L);
    private final ReadinessGate gate = new ReadinessGate(timers);

    @Test
    public void cachedListLeavesTheGateClosed() {
        gate.onDiscoveryUpdate(EndpointUpdateKind.CACHED);

        assertEquals(Readiness.WAITING_FOR_DISCOVERY, gate.readiness());
    }

    @Test
    public void answerAndFailureOfDiscoveryOpenTheGate() {
        for (EndpointUpdateKind kind : new EndpointUpdateKind[] {
            EndpointUpdateKind.FULL, EndpointUpdateKind.DELTA, EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT
        }) {
            ReadinessGate opened = new ReadinessGate(timers);

            opened.onDiscoveryUpdate(kind);

            assertEquals(kind.toString(), Readiness.READY, opened.readiness());
        }
    }

    @Test
    public void throttledCallOpensTheGateOnlyWhenTheWaitSinceTheStartIsOver() {
        timers.advance(1_000_000_000L);
        gate.onDiscoveryUpdate(EndpointUpdateKind.THROTTLED);

        timers.advance(RestoredEndpointFilter.MAX_THROTTLED_WAIT_NANOS - 1_000_000_001L);
        assertEquals(Readiness.WAITING_FOR_DISCOVERY, gate.readiness());

        timers.advance(1);
        assertEquals(Readiness.READY, gate.readiness());
    }

    @Test
    public void gracefulShutdownClosesTheGateForGood() {
        gate.onEndpointsKnown();
        gate.beginGracefulShutdown();
        gate.onEndpointsKnown();

        assertEquals(Readiness.DRAINING, gate.readiness());
    }
}
