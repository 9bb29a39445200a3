package fawnlb.server;

import fawnlb.backend.BackendPool;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.AddressOwners;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.DiscoveryListener;
import fawnlb.discovery.DuplicateEntries;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListFormatException;
import fawnlb.discovery.EndpointStartTimes;
import fawnlb.discovery.LastGoodEntries;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.proxy.RequestProxy;
import fawnlb.snapshot.SnapshotRecorder;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Publishes what discovery says of the endpoints: to the snapshot recorder, the backend pool, the request proxy, and
 * the readiness gate.
 */
@EventLoopOnly
final class EndpointPublisher implements DiscoveryListener {
    private final NameNumbers zones;
    private final NameNumbers kinds;
    private final Set<String> messagesApiKinds;
    private final BackendPool backends;
    private final Timers timers;
    private final ReadinessGate readiness;
    private final EndpointMemory memory;
    private final AddressOwners addressOwners = new AddressOwners();
    private final DuplicateEntries duplicates;
    private final LastGoodEntries lastGoodEntries;
    private final ListedEndpointIds listedIds;
    private final EndpointStartTimes startTimes = new EndpointStartTimes();
    private RequestProxy requestProxy;
    private SnapshotRecorder snapshotRecorder;

    /**
     * Creates a publisher that must be {@linkplain #connect connected} before discovery starts.
     *
     * @param names the names of zones and kinds in the settings
     * @param messagesApiKinds the kinds of endpoints that offer the messages API
     * @param memory limits how many endpoints there may be
     */
    EndpointPublisher(
            LoadBalancerSettings.Names names,
            Set<String> messagesApiKinds,
            BackendPool backends,
            Timers timers,
            ReadinessGate readiness,
            EndpointMemory memory) {
        this.zones = new NameNumbers("locality", names::zoneIndex, names.zones().size());
        this.kinds = new NameNumbers("flavor", names::kindIndex, names.kinds().size());
        this.messagesApiKinds = messagesApiKinds;
        this.backends = backends;
        this.timers = timers;
        this.readiness = readiness;
        this.memory = memory;
        this.duplicates = new DuplicateEntries(timers);
        this.lastGoodEntries = new LastGoodEntries(timers);
        this.listedIds = new ListedEndpointIds(timers);
    }

    /**
     * Sets the receivers that need discovery themselves, and so are created after this publisher. It is called on the
     * thread that starts the server, before discovery starts.
     *
     * @param recorder writes snapshots of the endpoint list, null if none are written
     */
    void connect(RequestProxy proxy, SnapshotRecorder recorder) {
        requestProxy = proxy;
        snapshotRecorder = recorder;
    }

    @Override
    public void checkRoom(EndpointList list) throws EndpointListFormatException {
        memory.checkRoom(list, listedIds::contains, listedIds.size());
    }

    @Override
    public void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList listed) {
        EndpointList list = listed == null ? null : resolve(listed);
        if (snapshotRecorder != null) {
            snapshotRecorder.onDiscoveryUpdate(kind, list);
        }
        if (list != null) {
            recordStartTimes(kind, list);
            listedIds.update(list);
            memory.reserve(listedIds.size());
        }
        requestProxy.onEndpointsUpdated(toEndpointsUpdated(kind, list), () -> updateBackends(list));
        readiness.onDiscoveryUpdate(kind);
    }

    private EndpointList resolve(EndpointList listed) {
        return addressOwners.resolve(lastGoodEntries.restore(duplicates.remove(listed)));
    }

    @Override
    public void onHeartbeat() {
        startTimes.recordContact(timers.now());
    }

    private void recordStartTimes(EndpointUpdateKind kind, EndpointList list) {
        startTimes.recordStarts(list, timers.now());
        if (kind != EndpointUpdateKind.CACHED) {
            startTimes.recordContact(timers.now());
        }
    }

    private void updateBackends(EndpointList list) {
        if (list == null) {
            return;
        }
        if (list.complete()) {
            backends.retainOnly(list.ids());
        }
        for (DiscoveredEndpoint discovered : list.endpoints()) {
            backends.updateBackend(
                    discovered.id(),
                    new InetSocketAddress(discovered.host(), discovered.port()),
                    discovered.upSinceMillis(),
                    discovered.phase(),
                    messagesApiKinds.contains(discovered.kind()) ? Dialect.MESSAGES : Dialect.CHAT);
        }
    }

    /** The event for an update; an update without a list says that nothing has come. */
    private LoadBalancerEvent.EndpointsUpdated toEndpointsUpdated(EndpointUpdateKind kind, EndpointList list) {
        if (list == null) {
            return new LoadBalancerEvent.EndpointsUpdated(kind, 0, List.of());
        }
        List<Endpoint> endpoints = new ArrayList<>();
        list.endpoints().forEach(discovered -> endpoints.add(toEndpoint(discovered)));
        return new LoadBalancerEvent.EndpointsUpdated(kind, list.revision(), endpoints);
    }

    private Endpoint toEndpoint(DiscoveredEndpoint discovered) {
        return new Endpoint(
                discovered.id(),
                discovered.phase(),
                startTimes.startedAt(discovered),
                discovered.size(),
                zones.numberOf(discovered.zone()),
                discovered.cell(),
                kinds.numberOf(discovered.kind()));
    }
}
