package fawnlb.lab.roster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.Phase;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.net.HttpServer.Exchange;
import fawnlb.lab.net.HttpServer.Request;
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
public final class RosterServer {
    private static final long HEARTBEAT = 2_000_000_000L;
    /** Changes that are still told as such; who is further behind gets the whole list. */
    private static final int HISTORY = 64;
    /** How long a call takes of the one service that all nodes share, and how long it may wait for its turn. */
    private static final long CALL = 5_000_000;

    private static final long PATIENCE = 2_000_000_000L;
    private static final JsonFactory JSON = new JsonFactory();

    private final Timers timers;
    private final RuleChecker rules;
    private final long delay;
    private final Map<String, HttpServer> servers = new LinkedHashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final TreeMap<Long, List<Member>> changes = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long free;
    private boolean up = true;
    private long bytesTold;

    private record Watch(String node, Exchange exchange) {}

    /** Delay: nanoseconds from a change until it is told. */
    public RosterServer(
            Collection<String> nodes, long revision, long delay, XnioWorker worker, Timers timers, RuleChecker rules)
            throws IOException {
        this.timers = timers;
        this.rules = rules;
        this.revision = revision;
        this.delay = delay;
        for (String node : nodes) {
            servers.put(
                    node,
                    new HttpServer(
                            worker,
                            new InetSocketAddress("127.0.0.1", 0),
                            (request, exchange) -> request(node, request, exchange)));
        }
        beat();
    }

    /** Where this node reaches it. */
    public InetSocketAddress address(String node) {
        return servers.get(node).address();
    }

    /** Boxes have changed; one whose phase is gone leaves the list. */
    public void change(Member... changed) {
        revision++;
        changes.put(revision, List.of(changed));
        if (changes.size() > HISTORY) {
            changes.pollFirstEntry();
        }
        for (Member member : changed) {
            members.remove(member.id());
            if (member.phase() != Phase.GONE) {
                members.put(member.id(), member);
            }
        }
        long told = revision;
        timers.after(delay, () -> tellAll(list(told, false, List.of(changed)), List.of(changed)));
    }

    /** Forgets all and counts from another revision, as a service that lost its state. */
    public void replace(long from, List<Member> list) {
        members.clear();
        changes.clear();
        revision = from;
        list.forEach(member -> members.put(member.id(), member));
    }

    /** Goes down: watches end, calls are refused. */
    public void down() {
        up = false;
        watches.clear();
        servers.values().forEach(HttpServer::close);
    }

    public void up() throws IOException {
        up = true;
        for (HttpServer server : servers.values()) {
            server.accept();
        }
    }

    /** Ends for good. */
    public void close() {
        down();
    }

    private void beat() {
        timers.after(HEARTBEAT, () -> {
            tellAll("\n", List.of());
            beat();
        });
    }

    private void tellAll(String line, List<Member> changed) {
        watches.removeIf(watch -> !watch.exchange().isOpen());
        for (Watch watch : watches) {
            tell(watch.node(), changed);
            chunk(watch.exchange(), line);
        }
    }

    private void tell(String node, List<Member> changed) {
        changed.forEach(member -> rules.told(timers.now(), node, member.id(), member.phase() != Phase.READY));
    }

    /** Bytes of lists and changes that were told so far. */
    public long bytesTold() {
        return bytesTold;
    }

    private void chunk(Exchange exchange, String text) {
        bytesTold += text.length();
        exchange.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void request(String node, Request request, Exchange exchange) {
        long now = timers.now();
        long turn = Math.max(now, free);
        if (!up || turn - now > PATIENCE) {
            exchange.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        free = turn + CALL;
        timers.after(free - now + delay, () -> {
            if (up && exchange.isOpen()) {
                answer(node, request, exchange);
            }
        });
    }

    private void answer(String node, Request request, Exchange exchange) {
        boolean watching = request.path().contains("watch=1");
        String all = list(revision, true, members.values());
        tell(node, List.copyOf(members.values()));
        if (!watching) {
            exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + all.length()
                    + "\r\n\r\n" + all);
            return;
        }
        long from = Long.parseLong(request.path().replaceAll(".*from=(\\d+).*", "$1"));
        exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        boolean follows =
                from > 0 && from <= revision && (changes.isEmpty() ? from == revision : from >= changes.firstKey() - 1);
        if (follows) {
            List<Member> since = new ArrayList<>();
            changes.tailMap(from, false).values().forEach(since::addAll);
            tell(node, since);
            chunk(exchange, list(revision, false, since));
        } else {
            chunk(exchange, all);
        }
        watches.add(new Watch(node, exchange));
    }

    private static String list(long revision, boolean complete, Collection<Member> members) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("revision", revision);
            out.writeBooleanField("complete", complete);
            out.writeArrayFieldStart("members");
            for (Member member : members) {
                MemberList.write(member, out);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string can always be written", e);
        }
        return text + "\n";
    }
}
