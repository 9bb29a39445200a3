package fawnlb.target;

import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.dialect.Dialect;
import fawnlb.flow.Ask;
import fawnlb.flow.Targets;
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

/** All targets that the list has named, an actor each. */
public final class TargetPool implements Targets {
    private static final int MAILBOX = 4096;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Limits limits;
    private final Map<Long, Target> targets = new HashMap<>();
    private final Streams streams;
    private int sockets;

    /** Times in nanoseconds. */
    public record Limits(long connect, long idle, long probe, int sockets, List<String> reportFields) { }

    public TargetPool(XnioIoThread thread, Timers timers, Limits limits, Streams streams) {
        this.thread = thread;
        this.timers = timers;
        this.limits = limits;
        this.streams = streams;
    }

    /**
     * Where a target listens, as the list says; one that is gone keeps the forwards it has. {@code since}: when it
     * started. Idle connections from before that lead nowhere, and one to a machine that vanished does not say so.
     */
    public void place(long id, InetSocketAddress address, long since, Phase phase, Dialect dialect) {
        Target target = targets.get(id);
        boolean changed = target != null && (phase == Phase.GONE || !target.is(address, since, dialect));
        if (changed) {
            targets.remove(id);
            target.leave();
        }
        if (phase != Phase.GONE && (target == null || changed)) {
            target = new Target(id, address, since, dialect, thread, timers, new Mailbox(thread, MAILBOX), limits, this, streams);
            targets.put(id, target);
        }
        if (phase != Phase.GONE) {
            target.drains(phase == Phase.DRAINING);
        }
    }

    /** Lets go of all others: a whole list names those that are gone by leaving them out. */
    public void keep(Set<Long> listed) {
        targets.entrySet().removeIf(entry -> {
            boolean gone = !listed.contains(entry.getKey());
            if (gone) {
                entry.getValue().leave();
            }
            return gone;
        });
    }

    @Override
    public Forward forward(long id, Ask ask, long until, long sendBy, boolean again, Report report) {
        Target target = targets.get(id);
        if (target == null || !((Parcel) ask.parcel()).speaks(target.dialect())) {
            report.ended(Ending.of(End.NOT_SENT), 0, List.of());
            return end -> { };
        }
        return target.forward((Parcel) ask.parcel(), ask.promptTokens(), until, sendBy, again, report);
    }

    /** Where a target listens, {@code -} if it is not listed. */
    public String address(long id) {
        Target target = targets.get(id);
        return target == null ? "-" : target.host();
    }

    @Override
    public void probe(long id, ProbeReport report) {
        Target target = targets.get(id);
        if (target == null) {
            report.probed(Outcome.NEVER_SENT, List.of());
        } else {
            target.probe(report);
        }
    }

    /** Whether one more connection may be opened; idle ones to other targets make room. */
    boolean socketFree() {
        if (sockets >= limits.sockets()) {
            targets.values().stream().filter(Target::hasIdle).min(Comparator.comparingLong(Target::idleSince))
                    .ifPresent(Target::closeOldestIdle);
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
