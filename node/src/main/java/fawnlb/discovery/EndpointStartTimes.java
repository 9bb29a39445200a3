package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopOnly;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each endpoint has started, on the instance's clock. That clock is monotonic, but may have been wrong by any
 * amount when the instance started.
 *
 * <p>Discovery reports starts as times of another clock. They order the starts of one endpoint. An endpoint's age is
 * taken from them only as far as nothing contradicts it: a start that discovery reports was not there at its last
 * contact, be it a heartbeat, so it lies between that and now. A reported start in the future, or long before the last
 * contact, shows that the clocks differ. The endpoint then counts as just started, and the difference is kept for
 * starts that nothing else bounds. Too young is the safe side: such an endpoint gets less than its share for a moment,
 * while one that is taken for too old would be overloaded.
 *
 * <p>Times are nanoseconds on the instance's clock. It belongs to one thread.
 */
@EventLoopOnly
public final class EndpointStartTimes {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NEVER = Long.MIN_VALUE;
    /** How late discovery may report a start, by the operators' page; one that seems older is contradicted. */
    private static final long MAX_NOTIFICATION_DELAY_NANOS = 6_000_000_000L;
    /**
     * How many endpoints are tracked. They include those that have left: one that returns without a restart is as old
     * as it was.
     */
    private static final int MAX_TRACKED_ENDPOINTS = 8192;

    private record StartRecord(long upSinceMillis, long startedAt) {}

    private final Map<EndpointId, StartRecord> startsByEndpoint = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, StartRecord> eldest) {
            return size() > MAX_TRACKED_ENDPOINTS;
        }
    };
    private long lastContactAt = NEVER;
    /** How far the clock of the reported starts is ahead of the instance's, as far as it is known. */
    private long clockOffsetNanos;

    /** Takes the starts that a list reports. To be called before {@link #recordContact} for the same list. */
    public void recordStarts(EndpointList list, long now) {
        raiseClockOffset(list, now);
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            if (hasStartTime(endpoint)) {
                recordStart(endpoint, now);
            }
        }
    }

    /** A start in the future shows that the reported clock is ahead by more than was known. */
    private void raiseClockOffset(EndpointList list, long now) {
        long latestStartMillis = list.endpoints().stream()
                .filter(EndpointStartTimes::hasStartTime)
                .mapToLong(DiscoveredEndpoint::upSinceMillis)
                .max()
                .orElse(0);
        long latestStartNanos = latestStartMillis * NANOS_PER_MILLISECOND;
        if (latestStartNanos - clockOffsetNanos > now) {
            clockOffsetNanos = latestStartNanos - now;
        }
    }

    private void recordStart(DiscoveredEndpoint endpoint, long now) {
        EndpointId id = endpoint.id();
        StartRecord recorded = startsByEndpoint.get(id);
        if (recorded == null || recorded.upSinceMillis() < endpoint.upSinceMillis()) {
            long startedAt = boundStartTime(endpoint.upSinceMillis() * NANOS_PER_MILLISECOND, now);
            // Removed first, so that the endpoint counts as the youngest entry.
            startsByEndpoint.remove(id);
            startsByEndpoint.put(id, new StartRecord(endpoint.upSinceMillis(), startedAt));
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

    /** Takes note of a list or a heartbeat from discovery. */
    public void recordContact(long now) {
        lastContactAt = now;
    }

    /** When the endpoint started; 0 if long ago. */
    public long startedAt(DiscoveredEndpoint endpoint) {
        StartRecord start = startsByEndpoint.get(endpoint.id());
        return endpoint.upSinceMillis() <= 0 || start == null ? 0 : start.startedAt();
    }
}
