package fawnlb.restore;

import fawnlb.decision.EndpointId;
import java.util.Map;

/**
 * Weighs the endpoints of a snapshot by the time since each was last listed or has last responded. The weight is the
 * estimated probability that the endpoint is still there; it halves with each half-life.
 */
final class ContactAgeWeights {
    /** The weight of an endpoint of whose age nothing is known. */
    private static final double UNKNOWN_AGE_WEIGHT = 0.5;

    private final long halfLifeNanos;
    private final Map<EndpointId, Long> lastContactAt;

    /**
     * Creates the weights.
     *
     * @param halfLifeNanos the age at which the weight is one half
     * @param lastContactAt when each endpoint was last heard of, in nanoseconds on the instance's clock; 0 or absent if
     *     unknown
     */
    ContactAgeWeights(long halfLifeNanos, Map<EndpointId, Long> lastContactAt) {
        this.halfLifeNanos = halfLifeNanos;
        this.lastContactAt = Map.copyOf(lastContactAt);
    }

    /**
     * The endpoint's weight, from 0 to 1. A contact that lies in the future comes from a clock that was set, and tells
     * no age.
     */
    double weight(long now, EndpointId endpointId) {
        long contactAt = lastContactAt.getOrDefault(endpointId, 0L);
        return contactAt <= 0 || contactAt > now
                ? UNKNOWN_AGE_WEIGHT
                : Math.pow(2, -(now - contactAt) / (double) halfLifeNanos);
    }
}
