package fawnlb.proxy;

import static fawnlb.proxy.RequestProxyHarness.MS;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction.CheckHealth;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.ClientDisconnected;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.HealthChecked;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.eventloop.Mailbox;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** What the load balancer hears of health checks, timers, endpoints and clients. */
public class LoadBalancerNotifierTest {
    @Test
    public void healthCheckResultIsReported() {
        RequestProxyHarness harness = new RequestProxyHarness();

        harness.perform(new CheckHealth(EndpointId.ofNumber(4)));

        assertEquals(List.of(2.0), ((HealthChecked) harness.events.get(0)).loadReport());
    }

    @Test
    public void timerIsReportedWhenItIsDue() {
        RequestProxyHarness harness = new RequestProxyHarness();
        harness.perform(new SetTimer(harness.timers.now() + 5 * MS, 9));

        harness.timers.advance(4 * MS);
        assertEquals(List.of(), harness.events);

        harness.timers.advance(MS);
        assertEquals(List.of(new TimerFired(9)), harness.events);
    }

    /** A stall of the thread with thousands of waiting messages must not cost an endpoint update or its timer. */
    @Test
    public void fullMailboxDropsNoEndpointUpdateTimerOrDisconnect() {
        ArrayDeque<Runnable> executor = new ArrayDeque<>();
        Mailbox mailbox = new Mailbox(executor::add, 1);
        RequestProxyHarness harness = new RequestProxyHarness("", mailbox);
        harness.perform(new SetTimer(harness.timers.now(), 3));
        RequestProxy.RequestHandle handle = harness.submit();
        mailbox.tell(() -> {});
        assertNotNull(handle);

        harness.proxy.onEndpointsUpdated(new EndpointsUpdated(EndpointUpdateKind.DELTA, 1, List.of()), () -> {});
        handle.onClientDisconnected();
        harness.timers.advance(1);
        while (!executor.isEmpty()) {
            executor.poll().run();
        }

        List<Class<? extends LoadBalancerEvent>> kinds = new ArrayList<>();
        harness.events.forEach(event -> kinds.add(event.getClass()));
        assertEquals(
                List.of(RequestArrived.class, EndpointsUpdated.class, ClientDisconnected.class, TimerFired.class),
                kinds);
    }
}
