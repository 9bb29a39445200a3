package fawnlb.discovery;

import fawnlb.decision.EndpointPhase;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each backend has started, on the node's own clock, which runs on the monotonic one and may have been set wrong
 * by any amount when the node started.
 *
 * <p>Discovery tells starts as times of another clock. They order the starts of one backend; a backend's age is taken
 * from them only as far as nothing refutes it. A start that discovery tells was not there when it last said something,
 * be it an empty line: it lies between that and now. One that would lie in the future, or long before discovery's last
 * word, shows that the clocks differ; then the backend counts as just started, and the difference is remembered for
 * starts that nothing else bounds. Too young is the safe side: such a backend gets less than its part for a moment,
 * while one taken for too old would be overloaded.
 *
 * <p>Times are nanoseconds on the node's clock. All of it belongs to one thread.
 */
public final class EndpointStartTimes {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NEVER = Long.MIN_VALUE;
    /** What discovery tells may be so old, by the operators' page: a start that seems older is refuted. */
    private static final long MAX_NOTIFICATION_DELAY_NANOS = 6_000_000_000L;
    /**
     * Backends that are remembered, those that have left included: one that returns without a restart is as old as it
     * was.
     */
    private static final int MAX_TRACKED_ENDPOINTS = 8192;

    private record StartRecord(long upSinceMillis, long startedAt) {}

    private final Map<Long, StartRecord> startsByEndpoint = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, StartRecord> eldest) {
            return size() > MAX_TRACKED_ENDPOINTS;
        }
    };
    private long lastContactAt = NEVER;
    /** What the clock that backends' starts are told by is ahead of the node's, as far as that is known. */
    private long clockOffsetNanos;

    /** Takes a list's starts, before {@link #recordContact} is called for it. */
    public void recordStarts(EndpointList list, long now) {
        long latestStartMillis = list.endpoints().stream()
                .filter(EndpointStartTimes::hasStartTime)
                .mapToLong(DiscoveredEndpoint::upSinceMillis)
                .max()
                .orElse(0);
        if (latestStartMillis * NANOS_PER_MILLISECOND - clockOffsetNanos > now) {
            clockOffsetNanos = latestStartMillis * NANOS_PER_MILLISECOND - now;
        }
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            StartRecord recorded = startsByEndpoint.get(endpoint.numericId());
            if (hasStartTime(endpoint) && (recorded == null || recorded.upSinceMillis() < endpoint.upSinceMillis())) {
                startsByEndpoint.remove(endpoint.numericId());
                startsByEndpoint.put(
                        endpoint.numericId(),
                        new StartRecord(
                                endpoint.upSinceMillis(),
                                boundStartTime(endpoint.upSinceMillis() * NANOS_PER_MILLISECOND, now)));
            }
        }
    }

    private static boolean hasStartTime(DiscoveredEndpoint endpoint) {
        return endpoint.upSinceMillis() > 0 && endpoint.phase() != EndpointPhase.GONE;
    }

    private long boundStartTime(long upSinceNanos, long now) {
        long startedAt = upSinceNanos - clockOffsetNanos;
        if (lastContactAt == NEVER) {
            return startedAt;
        }
        if (startedAt < lastContactAt - MAX_NOTIFICATION_DELAY_NANOS) {
            clockOffsetNanos = upSinceNanos - now;
            return now;
        }
        return Math.max(startedAt, lastContactAt);
    }

    /** Discovery has said something: a list that was taken, or that nothing has changed. */
    public void recordContact(long now) {
        lastContactAt = now;
    }

    /** When the member started; 0 if long ago. */
    public long startedAt(DiscoveredEndpoint endpoint) {
        StartRecord start = startsByEndpoint.get(endpoint.numericId());
        return endpoint.upSinceMillis() <= 0 || start == null ? 0 : start.startedAt();
    }
}
