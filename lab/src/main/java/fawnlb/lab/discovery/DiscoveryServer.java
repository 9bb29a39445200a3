package fawnlb.lab.discovery;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.eventloop.Timers;
import fawnlb.lab.net.HttpExchange;
import fawnlb.lab.net.HttpRequest;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.xnio.XnioWorker;

/**
 * An emulated discovery service: endpoint list, watches and heartbeats, with a delay and a limited capacity. Each node
 * has an address of its own at it, so that the service knows which node it has notified of what. All methods are called
 * on the worker's I/O thread.
 */
public final class DiscoveryServer {
    private static final long HEARTBEAT_INTERVAL_NANOS = 2_000_000_000L;
    /** Time that one call occupies the service, which serves all nodes one call after the other. */
    private static final long SERVICE_TIME_NANOS = 5_000_000;
    /** A call that would wait longer than this is rejected. */
    private static final long MAX_QUEUE_WAIT_NANOS = 2_000_000_000L;

    private static final String JSON_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

    private final Timers timers;
    private final RuleChecker rules;
    private final long notificationDelayNanos;
    private final Map<String, HttpServer> serversByNode = new LinkedHashMap<>();
    private final EndpointHistory history;
    private final List<Watch> watches = new ArrayList<>();
    private long idleFrom;
    private boolean available = true;
    private long bytesSent;

    private record Watch(String node, HttpExchange exchange) {}

    /**
     * Starts the service with an empty list.
     *
     * @param notificationDelayNanos time from a change until watches are notified, and that each call takes in addition
     * @throws IOException if a port can't be opened
     */
    public DiscoveryServer(
            Collection<String> nodes,
            long revision,
            long notificationDelayNanos,
            XnioWorker worker,
            Timers timers,
            RuleChecker rules)
            throws IOException {
        this.timers = timers;
        this.rules = rules;
        this.history = new EndpointHistory(revision);
        this.notificationDelayNanos = notificationDelayNanos;
        for (String node : nodes) {
            HttpServer.Handler handler = (request, exchange) -> onRequest(node, request, exchange);
            serversByNode.put(node, new HttpServer(worker, new InetSocketAddress("127.0.0.1", 0), handler));
        }
        sendHeartbeats();
    }

    /** Returns the address of the service for this node. */
    public InetSocketAddress address(String node) {
        return serversByNode.get(node).address();
    }

    /** Changes these endpoints of the endpoint list; one whose phase is GONE is removed. */
    public void applyChanges(DiscoveredEndpoint... changed) {
        List<DiscoveredEndpoint> changes = List.of(changed);
        history.apply(changes);
        String event = EndpointHistory.formatChanges(history.revision(), changes);
        timers.schedule(notificationDelayNanos, () -> sendToWatches(event, changes));
    }

    /** Replaces the endpoint list and its revision without notifying watches, as a service that has lost its state. */
    public void replaceList(long newRevision, List<DiscoveredEndpoint> list) {
        history.replace(newRevision, list);
    }

    /** Ends all watches and refuses connections until {@link #resumeServing}. */
    public void stopServing() {
        available = false;
        watches.clear();
        serversByNode.values().forEach(HttpServer::close);
    }

    /** Accepts calls again at the same addresses. */
    public void resumeServing() throws IOException {
        available = true;
        for (HttpServer server : serversByNode.values()) {
            server.resumeListening();
        }
    }

    /** Returns how many bytes of lists, changes and heartbeats watches have been sent. */
    public long bytesSent() {
        return bytesSent;
    }

    private void sendHeartbeats() {
        timers.schedule(HEARTBEAT_INTERVAL_NANOS, () -> {
            sendToWatches("\n", List.of());
            sendHeartbeats();
        });
    }

    private void sendToWatches(String line, List<DiscoveredEndpoint> changed) {
        watches.removeIf(watch -> !watch.exchange().isOpen());
        for (Watch watch : watches) {
            recordNotification(watch.node(), changed);
            writeChunk(watch.exchange(), line);
        }
    }

    private void recordNotification(String node, List<DiscoveredEndpoint> changed) {
        for (DiscoveredEndpoint endpoint : changed) {
            if (endpoint.phase() == EndpointPhase.READY) {
                rules.onReadyNotified(node, endpoint.id().name());
            } else {
                rules.onDrainNotified(timers.now(), node, endpoint.id().name());
            }
        }
    }

    private void writeChunk(HttpExchange exchange, String text) {
        bytesSent += text.length();
        exchange.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void onRequest(String node, HttpRequest request, HttpExchange exchange) {
        long now = timers.now();
        long serviceStart = Math.max(now, idleFrom);
        if (!available || serviceStart - now > MAX_QUEUE_WAIT_NANOS) {
            exchange.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        idleFrom = serviceStart + SERVICE_TIME_NANOS;
        timers.schedule(idleFrom - now + notificationDelayNanos, () -> {
            if (available && exchange.isOpen()) {
                respond(node, request, exchange);
            }
        });
    }

    private void respond(String node, HttpRequest request, HttpExchange exchange) {
        recordNotification(node, history.endpoints());
        if (request.path().contains("watch=1")) {
            beginWatch(node, request, exchange);
        } else {
            String list = history.formatComplete();
            exchange.write(JSON_HEAD + "Content-Length: " + list.length() + "\r\n\r\n" + list);
        }
    }

    private void beginWatch(String node, HttpRequest request, HttpExchange exchange) {
        long fromRevision = Long.parseLong(request.path().replaceAll(".*from=(\\d+).*", "$1"));
        exchange.write(JSON_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
        Optional<List<DiscoveredEndpoint>> changes = history.changesSince(fromRevision);
        if (changes.isPresent()) {
            recordNotification(node, changes.get());
            writeChunk(exchange, EndpointHistory.formatChanges(history.revision(), changes.get()));
        } else {
            writeChunk(exchange, history.formatComplete());
        }
        watches.add(new Watch(node, exchange));
    }
}
