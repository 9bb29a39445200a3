package fawnlb.lab.discovery;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.DiscoveryClient;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.Mailbox;
import fawnlb.lab.rules.RuleChecker;
import fawnlb.lab.testbed.IoThread;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;

/** The emulated discovery service and a node's client of it. */
public class DiscoveryServerTest {
    @Rule
    public final IoThread io = new IoThread();

    private final RuleChecker rules = new RuleChecker(6, 750_000_000);
    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

    private static DiscoveredEndpoint endpoint(String id, int port, EndpointPhase phase) {
        return new DiscoveredEndpoint(EndpointId.of(id), "127.0.0.1", port, "z", "k", 0, phase, 1, 0);
    }

    private DiscoveryServer startServer() throws Exception {
        return io.call(() -> {
            DiscoveryServer server = new DiscoveryServer(List.of("n0"), 40, 0, io.worker(), io.timers(), rules);
            server.replaceList(
                    41,
                    List.of(
                            endpoint("s-0000000a", 1, EndpointPhase.READY),
                            endpoint("s-0000000b", 2, EndpointPhase.READY)));
            return server;
        });
    }

    private DiscoveryClient createClient(InetSocketAddress address) {
        return new DiscoveryClient(
                io.thread(), io.timers(), new Mailbox(io.thread(), 100), address, this::recordNotification);
    }

    private void recordNotification(EndpointUpdateKind kind, EndpointList list) {
        String content = list == null
                ? ""
                : " " + list.revision() + " " + list.endpoints().size();
        notifications.add(kind + content);
    }

    private void assertNotified(String expected) throws InterruptedException {
        assertEquals(expected, notifications.poll(10, TimeUnit.SECONDS));
    }

    @Test
    public void watchReceivesListsChangesFailuresAndALowerRevision() throws Exception {
        DiscoveryServer server = startServer();
        DiscoveryClient client = createClient(server.address("n0"));
        client.startFromCachedList(new EndpointList(0, true, List.of()));
        client.watchEndpoints();
        assertNotified("CACHED 0 0");
        assertNotified("FULL 41 2");
        io.run(() -> server.applyChanges(endpoint("s-0000000a", 1, EndpointPhase.DRAINING)));
        assertNotified("DELTA 42 1");
        io.run(server::stopServing);
        assertNotified(EndpointUpdateKind.FAILED.name());
        client.watchEndpoints();
        assertNotified(EndpointUpdateKind.FAILED.name());
        io.run(() -> {
            server.replaceList(3, List.of());
            server.resumeServing();
        });
        client.watchEndpoints();
        assertNotified("FULL 3 0");
    }
}
