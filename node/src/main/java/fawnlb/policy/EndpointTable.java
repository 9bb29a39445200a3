package fawnlb.policy;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * All endpoints that this instance knows, the hash ring of those that are listed, and the counts over them that
 * selection needs. An endpoint that is no longer listed stays until the last attempt on it has ended.
 */
final class EndpointTable {
    /** Learns of each listed entry before the table takes it over. */
    @FunctionalInterface
    interface UpdateListener {
        void beforeUpdate(EndpointState known, Endpoint listed);
    }

    private final int localZone;
    private final Map<EndpointId, EndpointState> byId = new HashMap<>();
    private final HashRing<EndpointState> ring = new HashRing<>(Comparator.comparing(endpoint -> endpoint.id));
    private final List<EndpointState> ready = new ArrayList<>();
    /** Room for one figure of each ready endpoint, kept so that no request allocates it. */
    private double[] figures = new double[0];

    private long passes;
    private int inSlowStart;
    private int localReady;
    private int zones;
    private int inFlight;
    private int localInFlight;

    EndpointTable(int localZone) {
        this.localZone = localZone;
    }

    /** Takes over a successful update; {@link #recount} has to follow. */
    void update(EndpointsUpdated update, UpdateListener listener) {
        List<EndpointState> joined = new ArrayList<>();
        boolean anyGone = false;
        long pass = nextPass();
        for (Endpoint listed : update.endpoints()) {
            EndpointState endpoint = byId.computeIfAbsent(listed.id(), EndpointState::new);
            listener.beforeUpdate(endpoint, listed);
            copy(listed, endpoint);
            endpoint.lastPass = pass;
            if (endpoint.isGone()) {
                anyGone = true;
            } else if (!endpoint.onRing) {
                endpoint.onRing = true;
                joined.add(endpoint);
            }
        }
        anyGone |= isComplete(update.kind()) && markUnlistedAsGone(pass);
        if (!joined.isEmpty()) {
            ring.add(joined, endpoint -> endpoint.id.ringSeed());
        }
        if (anyGone) {
            removeGone();
        }
    }

    /** An entry that removes an endpoint need not name its zone and cell, and its attempts may still be running. */
    private static void copy(Endpoint listed, EndpointState endpoint) {
        endpoint.phase = listed.phase();
        if (!endpoint.isGone()) {
            endpoint.zone = listed.zone();
            endpoint.cell = listed.cell();
            endpoint.capacity = listed.capacity();
        }
    }

    private static boolean isComplete(EndpointUpdateKind kind) {
        return kind == EndpointUpdateKind.FULL || kind == EndpointUpdateKind.CACHED;
    }

    /** A complete list names the endpoints that are gone by leaving them out. */
    private boolean markUnlistedAsGone(long pass) {
        boolean anyGone = false;
        for (EndpointState endpoint : byId.values()) {
            if (endpoint.lastPass != pass && !endpoint.isGone()) {
                endpoint.phase = EndpointPhase.GONE;
                anyGone = true;
            }
        }
        return anyGone;
    }

    private void removeGone() {
        ring.removeIf(EndpointState::isGone);
        byId.values().forEach(endpoint -> endpoint.onRing &= !endpoint.isGone());
        byId.values().removeIf(endpoint -> endpoint.isGone() && endpoint.inFlight == 0);
    }

    /** Counts the endpoints anew after an update, or after slow start has ended for some. */
    void recount() {
        inSlowStart = 0;
        localReady = 0;
        localInFlight = 0;
        ready.clear();
        BitSet readyZones = new BitSet();
        for (EndpointState endpoint : byId.values()) {
            boolean isLocal = isLocal(endpoint);
            localInFlight += isLocal ? endpoint.inFlight : 0;
            if (endpoint.isReady()) {
                ready.add(endpoint);
                readyZones.set(Math.max(0, endpoint.zone));
                localReady += isLocal ? 1 : 0;
                inSlowStart += endpoint.inSlowStart ? 1 : 0;
            }
        }
        zones = readyZones.cardinality();
    }

    void onAttemptStarted(EndpointState endpoint) {
        addInFlight(endpoint, 1);
    }

    void onAttemptEnded(EndpointState endpoint) {
        addInFlight(endpoint, -1);
    }

    private void addInFlight(EndpointState endpoint, int change) {
        endpoint.inFlight += change;
        inFlight += change;
        localInFlight += isLocal(endpoint) ? change : 0;
    }

    /** Starts a pass in which each endpoint is to be met once; {@link EndpointState#lastPass} marks those that were. */
    long nextPass() {
        return ++passes;
    }

    /** The upper median of a figure over all ready endpoints; 0 if none is ready. */
    double readyMedian(ToDoubleFunction<EndpointState> figure) {
        int count = ready.size();
        if (count == 0) {
            return 0;
        }
        if (figures.length < count) {
            figures = new double[count];
        }
        for (int i = 0; i < count; i++) {
            figures[i] = figure.applyAsDouble(ready.get(i));
        }
        return OrderStatistics.upperMedian(figures, count);
    }

    boolean isLocal(EndpointState endpoint) {
        return endpoint.zone == localZone;
    }

    HashRing<EndpointState> ring() {
        return ring;
    }

    List<EndpointState> ready() {
        return Collections.unmodifiableList(ready);
    }

    int readyCount() {
        return ready.size();
    }

    /** The number of ready endpoints that are past slow start, or of all ready ones when none is past it. */
    int warmCount() {
        return ready.size() > inSlowStart ? ready.size() - inSlowStart : ready.size();
    }

    boolean areAllInSlowStart() {
        return ready.size() == inSlowStart;
    }

    /** The number of ready endpoints in this instance's own zone. */
    int localReadyCount() {
        return localReady;
    }

    /** The number of zones that have a ready endpoint. */
    int zoneCount() {
        return zones;
    }

    int inFlight() {
        return inFlight;
    }

    int localInFlight() {
        return localInFlight;
    }
}
