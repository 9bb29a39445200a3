package fawnlb.stream;

import fawnlb.decision.EndpointId;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryReservation;
import fawnlb.memory.MemoryUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All response streams of an instance, with what they share: the timeouts, the usual latencies of the backends, and the
 * limit on buffered bytes.
 *
 * <p>It does no I/O and reads no clock: the caller passes the time, in nanoseconds of one clock that never goes back.
 * Belongs to one thread, with all of its streams.
 */
public final class StreamRegistry {
    /** One or two silent backends are no sign that the whole fleet is slow. */
    private static final int MIN_COMMON_STALLED_BACKENDS = 3;

    private final StreamTimeouts timeouts;
    private final LatencyBaseline latencyBaseline = new LatencyBaseline();
    private final MemoryBudget memory;
    private final BufferLimit bufferLimit;
    private final Map<EndpointId, BackendStreams> backends = new HashMap<>();
    private int activeBackends;
    private int stalledBackends;

    /** Carries out what a stream decides. */
    public interface Owner {
        /** Ends the exchange now, for this reason. */
        void endStream(EndReason reason);

        /**
         * The client has stopped reading: until it reads on, the stream is no work for its backend. Called once for a
         * stream.
         */
        void onClientStalled();
    }

    /**
     * Creates a registry without streams.
     *
     * @param memory in which the memory of all streams is reserved
     */
    public StreamRegistry(StreamTimeouts timeouts, MemoryBudget memory) {
        this.timeouts = timeouts;
        this.memory = memory;
        this.bufferLimit = new BufferLimit(timeouts.maxBufferedBytes(), memory);
    }

    // ---- For the exchanges ---------------------------------------------------------------------------------

    /** Opens the stream of an attempt that begins now. */
    public ResponseStream open(long nowNanos, StreamParameters parameters, Owner owner) {
        BackendStreams streams = backends.computeIfAbsent(parameters.backendId(), key -> new BackendStreams());
        activeBackends += streams.hasStreams() ? 0 : 1;
        streams.onOpened();
        return new ResponseStream(this, parameters, nowNanos, owner);
    }

    /** The backend has left the endpoint list; what is known of it is dropped with its last stream. */
    public void onBackendRemoved(EndpointId backendId) {
        BackendStreams streams = backends.get(backendId);
        if (streams != null) {
            streams.onRemoved();
            dropIfUnused(backendId, streams);
        }
    }

    private void dropIfUnused(EndpointId backendId, BackendStreams streams) {
        if (streams.isUnused()) {
            backends.remove(backendId);
            latencyBaseline.forget(backendId);
        }
    }

    // ---- For the streams -----------------------------------------------------------------------------------

    StreamTimeouts timeouts() {
        return timeouts;
    }

    LatencyBaseline latencyBaseline() {
        return latencyBaseline;
    }

    MemoryReservation openReservation() {
        return memory.open(MemoryUse.RESPONSES);
    }

    BufferLimit bufferLimit() {
        return bufferLimit;
    }

    /** Whether enough backends are silent at the same time to show that the cause is not a single backend. */
    boolean isSilenceCommon() {
        return stalledBackends >= MIN_COMMON_STALLED_BACKENDS
                && stalledBackends > timeouts.commonSilenceShare() * activeBackends;
    }

    /** How long a backend may be silent between two events before its stream is ended. */
    long allowedGapNanos(EndpointId backendId) {
        if (!timeouts.isAdaptive()) {
            return timeouts.maxSilenceNanos();
        }
        // A known pause of the backend comes on top of the gap in which it falls.
        long gapNanos =
                Math.min(timeouts.maxSilenceNanos(), latencyBaseline.gapNanos(backendId, timeouts.suspicionLevel()));
        return Math.min(timeouts.maxSilenceNanos(), timeouts.backendPauseNanos() + gapNanos);
    }

    /** Counts a stream in its new state; in the state CLOSED its end is known. */
    void onStateChanged(ResponseStream stream, StreamState from, StreamState to) {
        BackendStreams streams = backends.get(stream.backendId());
        boolean wasStalled = streams.hasStalledStreams();
        streams.onStateChanged(from, to);
        if (wasStalled != streams.hasStalledStreams()) {
            stalledBackends += wasStalled ? -1 : 1;
        }
        if (to == StreamState.CLOSED) {
            streams.onClosed(stream.attemptEnd());
            activeBackends -= streams.hasStreams() ? 0 : 1;
            dropIfUnused(stream.backendId(), streams);
        }
    }

    /** Counts bytes that are buffered for a stream, or no longer buffered if the change is negative. */
    void changeBufferedBytes(ResponseStream stream, long change) {
        bufferLimit.change(change);
        BackendStreams streams = backends.get(stream.backendId());
        if (streams != null) {
            streams.changeBufferedBytes(change);
        }
    }

    // ---- For operators -------------------------------------------------------------------------------------

    /** The bytes that are buffered for all streams. */
    public long bufferedBytes() {
        return bufferLimit.bufferedBytes();
    }

    /** The number of attempts that have not ended, or whose client has yet to read the rest. */
    public int openStreams() {
        return backends.values().stream().mapToInt(BackendStreams::openStreams).sum();
    }

    /** The statistics of each backend that is listed and has had streams, or still has some, in the order of ids. */
    public List<StreamStatistics> statistics() {
        List<StreamStatistics> statistics = new ArrayList<>();
        new TreeMap<>(backends)
                .forEach((backendId, streams) ->
                        statistics.add(streams.statistics(backendId, allowedGapNanos(backendId))));
        return statistics;
    }
}
