package fawnlb.stream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The decisions on all streams of a node: which silence is too long, which reader has stopped, and who goes when the
 * bytes held come to their limit. No I/O and no clock; times are nanoseconds of one clock that never goes back. It
 * belongs to one thread.
 */
public final class StreamRegistry {
    private final StreamTimeouts timeouts;
    private final LatencyBaseline latencyBaseline = new LatencyBaseline();
    private final Map<Long, BackendRecord> backends = new HashMap<>();
    /** Those whose readers lag, the one that has taken nothing for longest first. */
    private final Set<ResponseStream> slowClients = new LinkedHashSet<>();

    private int activeBackends;
    private int stalledBackends;
    private long bufferedBytes;

    /** Whoever carries a stream out. */
    public interface Owner {
        /** The stream is to end so, now. */
        void endStream(EndReason end);

        /** The reader has stopped: for as long as it has, the stream is no work for its backend. Told once. */
        void onClientStalled();
    }

    /** What is kept of one backend while it is listed or has streams. */
    private static final class BackendRecord {
        private final Map<StreamState, Integer> streamsByState = new EnumMap<>(StreamState.class);
        private final Map<String, Long> endsByLabel = new TreeMap<>();
        private int openStreams;
        private int stalledStreams;
        private long bufferedBytes;
        private boolean isRemoved;
    }

    public StreamRegistry(StreamTimeouts timeouts) {
        this.timeouts = timeouts;
    }

    /**
     * An attempt begins.
     *
     * @param promptTokens as the client told, 0 if it did not
     * @param responseDeadlineNanos when its time is up
     * @param canRetry whether another attempt could follow it
     * @param isEventStream whether the answer comes as events, or whole and unannounced
     */
    public ResponseStream open(
            long nowNanos,
            long backend,
            double promptTokens,
            long responseDeadlineNanos,
            boolean canRetry,
            boolean isEventStream,
            Owner owner) {
        BackendRecord record = backends.computeIfAbsent(backend, key -> new BackendRecord());
        record.isRemoved = false;
        activeBackends += record.openStreams++ == 0 ? 1 : 0;
        changeStateCount(record, StreamState.AWAITING_HEAD, 1);
        return new ResponseStream(
                this, backend, promptTokens, nowNanos, responseDeadlineNanos, canRetry, isEventStream, owner);
    }

    /** The backend is listed no more; what is known of it goes with its last stream. */
    public void onBackendRemoved(long backend) {
        BackendRecord record = backends.get(backend);
        if (record != null) {
            record.isRemoved = true;
            dropIfUnused(backend, record);
        }
    }

    private void dropIfUnused(long backend, BackendRecord record) {
        if (record.isRemoved && record.openStreams == 0) {
            backends.remove(backend);
            latencyBaseline.forget(backend);
        }
    }

    StreamTimeouts timeouts() {
        return timeouts;
    }

    LatencyBaseline latencyBaseline() {
        return latencyBaseline;
    }

    /** Whether so many backends are silent together that it is no fault of one. Two can't be told apart from one. */
    boolean isSilenceCommon() {
        return stalledBackends > 2 && stalledBackends > timeouts.commonSilenceShare() * activeBackends;
    }

    void onStateChanged(ResponseStream stream, StreamState from, StreamState to) {
        BackendRecord record = backends.get(stream.backend());
        changeStateCount(record, from, -1);
        changeStateCount(record, to, 1);
        if (from == StreamState.STALLED) {
            stalledBackends -= --record.stalledStreams == 0 ? 1 : 0;
        }
        if (to == StreamState.STALLED) {
            stalledBackends += record.stalledStreams++ == 0 ? 1 : 0;
        }
        if (to == StreamState.CLOSED) {
            changeStateCount(record, to, -1);
            record.endsByLabel.merge(stream.attemptEnd().label(), 1L, Long::sum);
            activeBackends -= --record.openStreams == 0 ? 1 : 0;
            dropIfUnused(stream.backend(), record);
        }
    }

    private static void changeStateCount(BackendRecord record, StreamState state, int change) {
        record.streamsByState.merge(state, change, Integer::sum);
    }

    /** So many bytes more, or fewer, are held for a stream. */
    void onBufferedBytesChanged(ResponseStream stream, long change) {
        bufferedBytes += change;
        BackendRecord record = backends.get(stream.backend());
        if (record != null) {
            record.bufferedBytes += change;
        }
    }

    /** The reader has taken something, or lags from now on: it is the last to go. */
    void onClientProgress(ResponseStream stream) {
        slowClients.remove(stream);
        slowClients.add(stream);
    }

    void onClientCaughtUp(ResponseStream stream) {
        slowClients.remove(stream);
    }

    /**
     * Ends streams until the bytes held are within the limit, those whose readers have taken nothing for longest first.
     * Where no reader lags, the bytes are on their way, and none is at fault.
     */
    public void enforceBufferLimit() {
        while (bufferedBytes > timeouts.maxBufferedBytes() && !slowClients.isEmpty()) {
            ResponseStream mostStalled = slowClients.iterator().next();
            slowClients.remove(mostStalled);
            mostStalled.evict();
        }
    }

    boolean isOverBufferLimit() {
        return bufferedBytes > timeouts.maxBufferedBytes();
    }

    /** Bytes held for all streams. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Attempts that are out, or whose client has yet to take the rest. */
    public int open() {
        return backends.values().stream().mapToInt(record -> record.openStreams).sum();
    }

    /** Of each backend that is listed or has streams. */
    public List<StreamStatistics> statistics() {
        List<StreamStatistics> statistics = new ArrayList<>();
        new TreeMap<>(backends).forEach((backend, record) -> {
            Map<StreamState, Integer> streamsByState = new EnumMap<>(record.streamsByState);
            streamsByState.values().removeIf(n -> n == 0);
            statistics.add(new StreamStatistics(
                    backend,
                    record.openStreams,
                    streamsByState,
                    new TreeMap<>(record.endsByLabel),
                    allowedGapNanos(backend),
                    record.bufferedBytes));
        });
        return statistics;
    }

    /** Nanoseconds of silence between events after which a stream is given up. */
    long allowedGapNanos(long backend) {
        if (!timeouts.isAdaptive()) {
            return timeouts.maxSilenceNanos();
        }
        // A pause of a box falls into a gap that would have been there anyhow.
        return Math.min(
                timeouts.maxSilenceNanos(),
                timeouts.backendPauseNanos()
                        + Math.min(
                                timeouts.maxSilenceNanos(), latencyBaseline.gap(backend, timeouts.suspicionLevel())));
    }
}
