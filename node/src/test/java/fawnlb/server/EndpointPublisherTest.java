package fawnlb.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import fawnlb.backend.BackendPool;
import fawnlb.config.SettingsParser;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListFormatException;
import fawnlb.eventloop.IoThread;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ManualTimers;
import fawnlb.memory.MemoryBudget;
import fawnlb.proxy.EndpointWatch;
import fawnlb.proxy.ProxyContext;
import fawnlb.proxy.RequestProxy;
import fawnlb.stream.StreamRegistry;
import fawnlb.stream.StreamTimeouts;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;

public class EndpointPublisherTest {
    private static final EndpointId ID = EndpointId.of("s-1");
    private static final int MAILBOX_CAPACITY = 100;
    private static final int MAX_ENDPOINTS = 2;

    @Rule
    public final IoThread io = new IoThread();

    private final ManualTimers timers = new ManualTimers(1_000_000_000L);
    /** What the proxy has yet to do. */
    private final Deque<Runnable> proxyTurns = new ArrayDeque<>();

    private final Mailbox proxyMailbox = new Mailbox(proxyTurns::add, MAILBOX_CAPACITY);
    private final List<String> observed = new ArrayList<>();
    private BackendPool backends;
    private EndpointPublisher publisher;

    @Before
    public void connect() {
        LoadBalancerSettings settings = new SettingsParser("").parse();
        backends = new BackendPool(
                io.thread(),
                timers,
                new BackendPool.Limits(1, 1, 1, 1, 1, List.of()),
                new StreamRegistry(StreamTimeouts.defaults(), MemoryBudget.unlimited()));
        publisher = new EndpointPublisher(
                settings.names(),
                Set.of(),
                backends,
                timers,
                new ReadinessGate(timers),
                new EndpointMemory(MemoryBudget.unlimited(), MAX_ENDPOINTS));
        publisher.connect(
                new RequestProxy(
                        new ProxyContext(settings, proxyMailbox, timers),
                        1,
                        this::createLoadBalancer,
                        backends,
                        new UnusedWatch()),
                null);
    }

    private LoadBalancer createLoadBalancer(LoadBalancerSettings settings, long seed, LoadBalancer.ActionSink sink) {
        return (now, event) -> {
            if (event instanceof LoadBalancerEvent.EndpointsUpdated updated) {
                observe("update " + updated.version());
            }
        };
    }

    private void observe(String occasion) {
        observed.add(occasion + ": " + backends.describeAddress(ID));
    }

    private void runProxyTurns() {
        while (!proxyTurns.isEmpty()) {
            proxyTurns.poll().run();
        }
    }

    private static EndpointList list(long revision, boolean complete, DiscoveredEndpoint... endpoints) {
        return new EndpointList(revision, complete, List.of(endpoints));
    }

    private static DiscoveredEndpoint at(int port, EndpointId id) {
        return at(port, id, 0);
    }

    private static DiscoveredEndpoint at(int port, EndpointId id, long upSinceMillis) {
        return new DiscoveredEndpoint(id, "127.0.0.1", port, "a", "c", 0, EndpointPhase.READY, 1, upSinceMillis);
    }

    /**
     * Guards against requests that reach one server by what was decided of another one: the backends had the next list
     * before the load balancer did, and a decision in between went to the server that had taken over the id.
     */
    @Test
    public void backendsChangeTogetherWithWhatTheLoadBalancerKnows() {
        publisher.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(1, true, at(9001, ID)));
        runProxyTurns();
        proxyMailbox.tellAlways(() -> observe("decision"));
        publisher.onDiscoveryUpdate(EndpointUpdateKind.DELTA, list(2, false, at(9002, ID)));
        runProxyTurns();

        assertEquals(
                List.of("update 1: 127.0.0.1:9001", "decision: 127.0.0.1:9001", "update 2: 127.0.0.1:9002"), observed);
    }

    /** Guards against backends that depend on the order of a list that names an endpoint twice. */
    @Test
    public void entryThatStartedLastCountsWhereAnEndpointIsListedTwice() {
        DiscoveredEndpoint former = at(9001, ID, 1000);
        DiscoveredEndpoint present = at(9002, ID, 2000);
        publisher.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(1, true, former, present));
        publisher.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(2, true, present, former));
        runProxyTurns();

        assertEquals(List.of("update 1: 127.0.0.1:9002", "update 2: 127.0.0.1:9002"), observed);
    }

    /** Guards against lists that pass the check one by one, before the first of them has reached the backends. */
    @Test
    public void roomIsCheckedAgainstTheLatestList() throws EndpointListFormatException {
        publisher.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(1, true, at(9001, ID)));
        EndpointList second = list(2, false, at(9002, EndpointId.of("s-2")));
        publisher.checkRoom(second);
        publisher.onDiscoveryUpdate(EndpointUpdateKind.DELTA, second);

        EndpointList third = list(3, false, at(9003, EndpointId.of("s-3")));

        assertThrows(EndpointListFormatException.class, () -> publisher.checkRoom(third));
        publisher.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(4, true, at(9002, EndpointId.of("s-2"))));
        publisher.checkRoom(third);
    }

    private static final class UnusedWatch implements EndpointWatch {
        @Override
        public void fetchEndpoints() {}

        @Override
        public void watchEndpoints() {}
    }
}
