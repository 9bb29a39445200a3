package fawnlb.cli;

import fawnlb.actor.Timers;
import fawnlb.backend.BackendPool;
import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Settings;
import fawnlb.dialect.Dialect;
import fawnlb.discovery.Discovery;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
import fawnlb.discovery.StartTimes;
import fawnlb.flow.Flows;
import fawnlb.probation.Probation;
import fawnlb.snapshot.Recorder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Hands on what discovery says: to the connections to backends, to the core, to the record on disk, and to the node's
 * readiness. It belongs to the I/O thread.
 */
final class MembershipFeed implements Discovery.Subscriber {
    private final Settings settings;
    private final Set<String> messageKinds;
    private final BackendPool backends;
    private final Timers timers;
    private final StartTimes startTimes = new StartTimes();
    private final long startedAt;
    private Flows flows;
    private Recorder recorder;
    private Runnable ready;

    /** Message kinds: kinds of backend that speak the messages interface. */
    MembershipFeed(Settings settings, Set<String> messageKinds, BackendPool backends, Timers timers) {
        this.settings = settings;
        this.messageKinds = messageKinds;
        this.backends = backends;
        this.timers = timers;
        this.startedAt = timers.now();
    }

    /**
     * To be called before discovery is.
     *
     * @param record what has the list written down, null if nothing does
     * @param known told when the node knows where to send, or that discovery can't say
     */
    void begin(Flows core, Recorder record, Runnable known) {
        flows = core;
        recorder = record;
        ready = known;
    }

    @Override
    public void heard(ListKind kind, MemberList list) {
        if (recorder != null) {
            recorder.heard(kind, list);
        }
        flows.listed(list == null ? new Balancer.Listed(kind, 0, List.of()) : listed(kind, list));
        tellReadiness(kind);
    }

    @Override
    public void heartbeat() {
        startTimes.heard(timers.now());
    }

    /**
     * Readiness waits for discovery's first word or failure, since nobody would know where to send. A discovery with
     * more callers than it can serve is waited for a little longer: what it could tell already holds for this node.
     */
    private void tellReadiness(ListKind kind) {
        if (kind == ListKind.CROWDED) {
            timers.after(Math.max(0, startedAt + Probation.MAX_CROWDED - timers.now()), ready);
        } else if (kind != ListKind.CACHED) {
            ready.run();
        }
    }

    private Balancer.Listed listed(ListKind kind, MemberList list) {
        startTimes.update(list, timers.now());
        if (kind != ListKind.CACHED) {
            startTimes.heard(timers.now());
        }
        if (list.complete()) {
            backends.keep(list.members().stream().map(Member::number).collect(Collectors.toSet()));
        }
        List<Balancer.Replica> replicas = new ArrayList<>();
        for (Member member : list.members()) {
            backends.place(
                    member.number(),
                    new InetSocketAddress(member.host(), member.port()),
                    member.upSinceMillis(),
                    member.phase(),
                    messageKinds.contains(member.kind()) ? Dialect.MESSAGES : Dialect.CHAT);
            replicas.add(replica(member));
        }
        return new Balancer.Listed(kind, list.revision(), replicas);
    }

    private Balancer.Replica replica(Member member) {
        return new Balancer.Replica(
                member.number(),
                member.phase(),
                startTimes.startedAt(member),
                member.size(),
                Math.max(0, settings.names().zones().indexOf(member.zone())),
                member.cell(),
                Math.max(0, settings.names().kinds().indexOf(member.kind())));
    }
}
