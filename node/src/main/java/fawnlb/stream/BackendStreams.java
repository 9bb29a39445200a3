package fawnlb.stream;

import fawnlb.decision.EndpointId;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** The counts of one backend's streams, kept while the backend is listed or has streams. Belongs to the registry. */
final class BackendStreams {
    private final Map<StreamState, Integer> streamsByState = new EnumMap<>(StreamState.class);
    private final Map<String, Long> endsByLabel = new TreeMap<>();
    private int openStreams;
    private long bufferedBytes;
    private boolean removed;

    void onOpened() {
        removed = false;
        openStreams++;
        change(StreamState.AWAITING_HEAD, 1);
    }

    void onStateChanged(StreamState from, StreamState to) {
        change(from, -1);
        if (to != StreamState.CLOSED) {
            change(to, 1);
        }
    }

    void onClosed(AttemptEnd end) {
        openStreams--;
        endsByLabel.merge(end.label(), 1L, Long::sum);
    }

    private void change(StreamState state, int count) {
        streamsByState.merge(state, count, Integer::sum);
    }

    void changeBufferedBytes(long bytes) {
        bufferedBytes += bytes;
    }

    /** The backend has left the endpoint list; a new stream takes that back. */
    void onRemoved() {
        removed = true;
    }

    boolean isUnused() {
        return removed && openStreams == 0;
    }

    boolean hasStreams() {
        return openStreams > 0;
    }

    boolean hasStalledStreams() {
        return streamsByState.getOrDefault(StreamState.STALLED, 0) > 0;
    }

    int openStreams() {
        return openStreams;
    }

    StreamStatistics statistics(EndpointId backendId, long allowedGapNanos) {
        Map<StreamState, Integer> occupiedStates = new EnumMap<>(streamsByState);
        occupiedStates.values().removeIf(count -> count == 0);
        return new StreamStatistics(
                backendId, openStreams, occupiedStates, new TreeMap<>(endsByLabel), allowedGapNanos, bufferedBytes);
    }
}
