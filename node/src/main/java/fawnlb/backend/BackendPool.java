package fawnlb.backend;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.dialect.Dialect;
import fawnlb.flow.Ask;
import fawnlb.flow.Backends;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import fawnlb.stream.Streams;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.XnioIoThread;

/** All backends that the list has named, an actor each. */
public final class BackendPool implements Backends {
    private static final int MAILBOX = 4096;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Limits limits;
    private final Map<Long, Backend> backends = new HashMap<>();
    private final Streams streams;
    private int sockets;

    /**
     * What holds for all connections; times in nanoseconds.
     *
     * @param connect how long a connect may take
     * @param idle after how long a backend closes a connection that carries no request
     * @param rest how long a connection rests between two requests. A backend may send a second answer behind the
     *     first, some milliseconds late: behind the next request it would be taken for that one's answer, while a
     *     resting connection closes
     * @param probe how long a probe may take
     * @param sockets how many connections may be open
     * @param reportFields the fields of load reports, in their order
     */
    public record Limits(long connect, long idle, long rest, long probe, int sockets, List<String> reportFields) {}

    public BackendPool(XnioIoThread thread, Timers timers, Limits limits, Streams streams) {
        this.thread = thread;
        this.timers = timers;
        this.limits = limits;
        this.streams = streams;
    }

    /**
     * Where a backend listens, as the list says; one that is gone keeps the attempts it has. {@code since}: when it
     * started. Idle connections from before that lead nowhere, and one to a machine that vanished does not say so.
     */
    public void place(long id, InetSocketAddress address, long since, Phase phase, Dialect dialect) {
        Backend backend = backends.get(id);
        boolean changed = backend != null && (phase == Phase.GONE || !backend.is(address, since, dialect));
        if (changed) {
            backends.remove(id);
            backend.leave();
        }
        if (phase != Phase.GONE && (backend == null || changed)) {
            backend = new Backend(
                    id, address, since, dialect, thread, timers, new Mailbox(thread, MAILBOX), limits, this, streams);
            backends.put(id, backend);
        }
        if (phase != Phase.GONE) {
            backend.drains(phase == Phase.DRAINING);
        }
    }

    /** Lets go of all others: a whole list names those that are gone by leaving them out. */
    public void keep(Set<Long> listed) {
        backends.entrySet().removeIf(entry -> {
            boolean gone = !listed.contains(entry.getKey());
            if (gone) {
                entry.getValue().leave();
            }
            return gone;
        });
    }

    @Override
    public Attempt attempt(long id, Ask ask, long until, long sendBy, boolean again, Report report) {
        Backend backend = backends.get(id);
        if (backend == null || !((Parcel) ask.parcel()).speaks(backend.dialect())) {
            report.ended(Ending.of(End.NOT_SENT), 0, List.of());
            return end -> {};
        }
        return backend.attempt((Parcel) ask.parcel(), ask.promptTokens(), until, sendBy, again, report);
    }

    /** Where a backend listens, {@code -} if it is not listed. */
    public String address(long id) {
        Backend backend = backends.get(id);
        return backend == null ? "-" : backend.host();
    }

    @Override
    public void probe(long id, ProbeReport report) {
        Backend backend = backends.get(id);
        if (backend == null) {
            report.probed(Outcome.NEVER_SENT, List.of());
        } else {
            backend.probe(report);
        }
    }

    /** Whether one more connection may be opened; idle ones to other backends make room. */
    boolean socketFree() {
        if (sockets >= limits.sockets()) {
            backends.values().stream()
                    .map(Backend::idle)
                    .filter(idle -> !idle.isEmpty())
                    .min(Comparator.comparingLong(IdleConnections::eldestSince))
                    .ifPresent(IdleConnections::closeEldest);
        }
        return sockets < limits.sockets();
    }

    void socketOpened() {
        sockets++;
    }

    void socketClosed() {
        sockets--;
    }
}
