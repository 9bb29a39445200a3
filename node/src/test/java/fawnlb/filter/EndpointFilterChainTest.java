package fawnlb.filter;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.ClientDisconnected;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class EndpointFilterChainTest {
    private static final long NOW = 1000;
    private static final LoadBalancerEvent EVENT = new ClientDisconnected(1);

    private final List<LoadBalancerEvent> receivedEvents = new ArrayList<>();
    private final List<LoadBalancerAction> actions = new ArrayList<>();
    private final FakeFilter first = new FakeFilter(1);
    private final FakeFilter second = new FakeFilter(10);
    private final EndpointFilterChain chain = new EndpointFilterChain(
            List.of(first, second),
            (settings, seed, sink) -> (LoadBalancer) (now, event) -> receivedEvents.add(event),
            null,
            0,
            actions::add);

    /** Adds a number to the version of each update, and shows what the test has set on any other occasion. */
    private static final class FakeFilter implements EndpointFilter {
        private final long increment;
        private boolean dropsUpdates;
        private EndpointsUpdated onAnyEvent;
        private EndpointsUpdated onNextWakeup;
        private long wakeupAt = NEVER;

        FakeFilter(long increment) {
            this.increment = increment;
        }

        @Override
        public EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update) {
            return dropsUpdates
                    ? null
                    : new EndpointsUpdated(update.kind(), update.version() + increment, update.endpoints());
        }

        @Override
        public EndpointsUpdated onEvent(long now, LoadBalancerEvent event) {
            return onAnyEvent;
        }

        @Override
        public long nextWakeupAt() {
            return wakeupAt;
        }

        @Override
        public EndpointsUpdated onWakeup(long now) {
            wakeupAt = NEVER;
            return onNextWakeup;
        }
    }

    private static EndpointsUpdated update(long version) {
        return new EndpointsUpdated(EndpointUpdateKind.FULL, version, List.of());
    }

    @Test
    public void updatePassesThroughAllFiltersInOrder() {
        chain.onEvent(NOW, update(100));

        assertEquals(List.of(update(111)), receivedEvents);
    }

    @Test
    public void updateThatAFilterDropsReachesNobody() {
        first.dropsUpdates = true;

        chain.onEvent(NOW, update(100));

        assertEquals(List.of(), receivedEvents);
    }

    @Test
    public void updateMadeFromAnEventComesBeforeTheEventAndPassesThroughLaterFiltersAlone() {
        first.onAnyEvent = update(100);
        second.onAnyEvent = update(200);

        chain.onEvent(NOW, EVENT);

        assertEquals(List.of(update(110), update(200), EVENT), receivedEvents);
    }

    @Test
    public void eachFilterHasATimerOfItsOwnBelowTheLoadBalancersTokens() {
        first.wakeupAt = NOW + 5;
        second.wakeupAt = NOW - 5;

        chain.onEvent(NOW, EVENT);

        assertEquals(List.of(new SetTimer(NOW + 5, -1), new SetTimer(NOW, -2)), actions);
    }

    @Test
    public void timerIsSetAnewOnlyForAnEarlierWakeup() {
        first.wakeupAt = NOW + 5;
        chain.onEvent(NOW, EVENT);
        first.wakeupAt = NOW + 6;
        chain.onEvent(NOW, EVENT);
        first.wakeupAt = NOW + 4;
        chain.onEvent(NOW, EVENT);

        assertEquals(List.of(new SetTimer(NOW + 5, -1), new SetTimer(NOW + 4, -1)), actions);
    }

    @Test
    public void wakeupPassesThroughLaterFiltersAlone() {
        first.wakeupAt = NOW + 5;
        first.onNextWakeup = update(100);

        chain.onEvent(NOW + 5, new TimerFired(-1));

        assertEquals(List.of(update(110)), receivedEvents);
    }

    @Test
    public void earlyTimerIsIgnoredAndRearmed() {
        first.wakeupAt = NOW + 5;
        first.onNextWakeup = update(100);

        chain.onEvent(NOW, new TimerFired(-1));

        assertEquals(List.of(), receivedEvents);
        assertEquals(List.of(new SetTimer(NOW + 5, -1)), actions);
    }

    @Test
    public void timersOfTheLoadBalancerReachIt() {
        chain.onEvent(NOW, new TimerFired(0));

        assertEquals(List.of(new TimerFired(0)), receivedEvents);
    }
}
