package fawnlb.server;

import fawnlb.backend.BackendPool;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.DiscoveryListener;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointStartTimes;
import fawnlb.eventloop.Timers;
import fawnlb.proxy.RequestProxy;
import fawnlb.restore.RestoredEndpointFilter;
import fawnlb.snapshot.SnapshotRecorder;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Hands on what discovery says: to the connections to backends, to the core, to the record on disk, and to the node's
 * readiness. It belongs to the I/O thread.
 */
final class EndpointPublisher implements DiscoveryListener {
    private final LoadBalancerSettings settings;
    private final Set<String> messagesApiKinds;
    private final BackendPool backends;
    private final Timers timers;
    private final EndpointStartTimes startTimes = new EndpointStartTimes();
    private final long startedAt;
    private RequestProxy requestProxy;
    private SnapshotRecorder snapshotRecorder;
    private Runnable onEndpointsKnown;

    /** Message kinds: kinds of backend that speak the messages interface. */
    EndpointPublisher(
            LoadBalancerSettings settings, Set<String> messagesApiKinds, BackendPool backends, Timers timers) {
        this.settings = settings;
        this.messagesApiKinds = messagesApiKinds;
        this.backends = backends;
        this.timers = timers;
        this.startedAt = timers.now();
    }

    /**
     * To be called before discovery is.
     *
     * @param recorder what has the list written down, null if nothing does
     * @param endpointsKnown told when the node knows where to send, or that discovery can't say
     */
    void connect(RequestProxy proxy, SnapshotRecorder recorder, Runnable endpointsKnown) {
        requestProxy = proxy;
        snapshotRecorder = recorder;
        onEndpointsKnown = endpointsKnown;
    }

    @Override
    public void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList list) {
        if (snapshotRecorder != null) {
            snapshotRecorder.onDiscoveryUpdate(kind, list);
        }
        requestProxy.onEndpointsUpdated(
                list == null
                        ? new LoadBalancerEvent.EndpointsUpdated(kind, 0, List.of())
                        : toEndpointsUpdated(kind, list));
        updateReadiness(kind);
    }

    @Override
    public void onHeartbeat() {
        startTimes.recordContact(timers.now());
    }

    /**
     * Readiness waits for discovery's first word or failure, since nobody would know where to send. A discovery with
     * more callers than it can serve is waited for a little longer: what it could tell already holds for this node.
     */
    private void updateReadiness(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.THROTTLED) {
            timers.schedule(
                    Math.max(0, startedAt + RestoredEndpointFilter.MAX_THROTTLED_WAIT_NANOS - timers.now()),
                    onEndpointsKnown);
        } else if (kind != EndpointUpdateKind.CACHED) {
            onEndpointsKnown.run();
        }
    }

    private LoadBalancerEvent.EndpointsUpdated toEndpointsUpdated(EndpointUpdateKind kind, EndpointList list) {
        startTimes.recordStarts(list, timers.now());
        if (kind != EndpointUpdateKind.CACHED) {
            startTimes.recordContact(timers.now());
        }
        if (list.complete()) {
            backends.retainOnly(
                    list.endpoints().stream().map(DiscoveredEndpoint::numericId).collect(Collectors.toSet()));
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (DiscoveredEndpoint member : list.endpoints()) {
            backends.updateBackend(
                    member.numericId(),
                    new InetSocketAddress(member.host(), member.port()),
                    member.upSinceMillis(),
                    member.phase(),
                    messagesApiKinds.contains(member.kind()) ? Dialect.MESSAGES : Dialect.CHAT);
            endpoints.add(toEndpoint(member));
        }
        return new LoadBalancerEvent.EndpointsUpdated(kind, list.revision(), endpoints);
    }

    private Endpoint toEndpoint(DiscoveredEndpoint member) {
        return new Endpoint(
                member.numericId(),
                member.phase(),
                startTimes.startedAt(member),
                member.size(),
                Math.max(0, settings.names().zones().indexOf(member.zone())),
                member.cell(),
                Math.max(0, settings.names().kinds().indexOf(member.kind())));
    }
}
