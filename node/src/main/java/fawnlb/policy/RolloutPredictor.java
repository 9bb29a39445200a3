package fawnlb.policy;

import java.util.List;

/**
 * Predicts which endpoints a rollout replaces next. While endpoints drain one after another, those that started first
 * are the next, and a stream that has only begun by then is cut when its endpoint goes. From the second drain within
 * {@link #ROLLOUT_WINDOW_NANOS} on, the oldest ready endpoints count as next, until that long after the last drain.
 */
final class RolloutPredictor {
    /** Two drains within this time are a rollout; a single one may have a reason of its own. */
    static final long ROLLOUT_WINDOW_NANOS = 10_000_000_000L;
    /** Measured on the first site. */
    static final int NEXT_ENDPOINTS = 3;

    private long lastDrainAt = Long.MIN_VALUE / 2;
    private long rolloutUntil = Long.MIN_VALUE;
    private long startedBefore;

    /** Notes that a ready endpoint has begun to drain. */
    void onDrain(long now) {
        rolloutUntil = now - lastDrainAt < ROLLOUT_WINDOW_NANOS ? now + ROLLOUT_WINDOW_NANOS : rolloutUntil;
        lastDrainAt = now;
    }

    /** Takes over which endpoints are ready now. Where many started together, none of them is known to be next. */
    void onReadyChanged(List<EndpointState> ready) {
        long[] starts = ready.stream()
                .mapToLong(endpoint -> endpoint.startedAt)
                .sorted()
                .toArray();
        startedBefore = starts.length >= 2 * NEXT_ENDPOINTS ? starts[NEXT_ENDPOINTS] : 0;
    }

    boolean isNext(EndpointState endpoint, long now) {
        return now < rolloutUntil && endpoint.startedAt < startedBefore;
    }
}
