package fawnlb.lab.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointListCodec;
import fawnlb.eventloop.Timers;
import fawnlb.lab.net.HttpExchange;
import fawnlb.lab.net.HttpRequest;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.xnio.XnioWorker;

/**
 * The roster: the list of boxes, told late. Each node has an address of its own at it, so that what it was told is
 * known. All of it runs on the worker's I/O thread.
 */
public final class DiscoveryServer {
    private static final long HEARTBEAT_INTERVAL_NANOS = 2_000_000_000L;
    /** Changes that are still told as such; who is further behind gets the whole list. */
    private static final int MAX_CHANGE_HISTORY = 64;
    /** How long a call takes of the one service that all nodes share, and how long it may wait for its turn. */
    private static final long SERVICE_TIME_NANOS = 5_000_000;

    private static final long MAX_QUEUE_WAIT_NANOS = 2_000_000_000L;
    private static final JsonFactory JSON = new JsonFactory();

    private final Timers timers;
    private final RuleChecker rules;
    private final long notificationDelayNanos;
    private final Map<String, HttpServer> serversByNode = new LinkedHashMap<>();
    private final Map<String, DiscoveredEndpoint> members = new LinkedHashMap<>();
    private final TreeMap<Long, List<DiscoveredEndpoint>> changes = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long idleFrom;
    private boolean available = true;
    private long bytesSent;

    private record Watch(String node, HttpExchange exchange) {}

    /** Delay: nanoseconds from a change until it is told. */
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
        this.revision = revision;
        this.notificationDelayNanos = notificationDelayNanos;
        for (String node : nodes) {
            serversByNode.put(
                    node,
                    new HttpServer(
                            worker,
                            new InetSocketAddress("127.0.0.1", 0),
                            (request, exchange) -> onRequest(node, request, exchange)));
        }
        sendHeartbeats();
    }

    /** Where this node reaches it. */
    public InetSocketAddress address(String node) {
        return serversByNode.get(node).address();
    }

    /** Boxes have changed; one whose phase is gone leaves the list. */
    public void applyChanges(DiscoveredEndpoint... changed) {
        revision++;
        changes.put(revision, List.of(changed));
        if (changes.size() > MAX_CHANGE_HISTORY) {
            changes.pollFirstEntry();
        }
        for (DiscoveredEndpoint member : changed) {
            members.remove(member.id());
            if (member.phase() != EndpointPhase.GONE) {
                members.put(member.id(), member);
            }
        }
        long changeRevision = revision;
        timers.schedule(
                notificationDelayNanos,
                () -> sendToWatches(formatList(changeRevision, false, List.of(changed)), List.of(changed)));
    }

    /** Forgets all and counts from another revision, as a service that lost its state. */
    public void replaceList(long newRevision, List<DiscoveredEndpoint> list) {
        members.clear();
        changes.clear();
        revision = newRevision;
        list.forEach(member -> members.put(member.id(), member));
    }

    /** Goes down: watches end, calls are refused. */
    public void stopServing() {
        available = false;
        watches.clear();
        serversByNode.values().forEach(HttpServer::close);
    }

    public void resumeServing() throws IOException {
        available = true;
        for (HttpServer server : serversByNode.values()) {
            server.resumeListening();
        }
    }

    /** Ends for good. */
    public void close() {
        stopServing();
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
        changed.forEach(member -> rules.told(timers.now(), node, member.id(), member.phase() != EndpointPhase.READY));
    }

    /** Bytes of lists and changes that were told so far. */
    public long bytesSent() {
        return bytesSent;
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
        boolean watching = request.path().contains("watch=1");
        String completeList = formatList(revision, true, members.values());
        recordNotification(node, List.copyOf(members.values()));
        if (!watching) {
            exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + completeList.length() + "\r\n\r\n" + completeList);
            return;
        }
        long fromRevision = Long.parseLong(request.path().replaceAll(".*from=(\\d+).*", "$1"));
        exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        boolean historyCovers = fromRevision > 0
                && fromRevision <= revision
                && (changes.isEmpty() ? fromRevision == revision : fromRevision >= changes.firstKey() - 1);
        if (historyCovers) {
            List<DiscoveredEndpoint> changesSince = new ArrayList<>();
            changes.tailMap(fromRevision, false).values().forEach(changesSince::addAll);
            recordNotification(node, changesSince);
            writeChunk(exchange, formatList(revision, false, changesSince));
        } else {
            writeChunk(exchange, completeList);
        }
        watches.add(new Watch(node, exchange));
    }

    private static String formatList(long revision, boolean complete, Collection<DiscoveredEndpoint> members) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("revision", revision);
            out.writeBooleanField("complete", complete);
            out.writeArrayFieldStart("members");
            for (DiscoveredEndpoint member : members) {
                EndpointListCodec.writeEndpoint(member, out);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string can always be written", e);
        }
        return text + "\n";
    }
}
