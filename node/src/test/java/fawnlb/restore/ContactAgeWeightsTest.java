package fawnlb.restore;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointId;
import java.util.Map;
import org.junit.Test;

public class ContactAgeWeightsTest {
    private static final long NANOS_PER_HOUR = 3_600_000_000_000L;
    private static final long NOW = 1_000 * NANOS_PER_HOUR;
    private static final EndpointId ENDPOINT = EndpointId.ofNumber(1);
    private static final double TOLERANCE = 1e-9;

    private static double weightOfContactAt(long contactAt, long now) {
        return new ContactAgeWeights(NANOS_PER_HOUR, Map.of(ENDPOINT, contactAt)).weight(now, ENDPOINT);
    }

    @Test
    public void weightHalvesWithEachHalfLife() {
        Map<Long, Double> weightsByAge =
                Map.of(0L, 1.0, NANOS_PER_HOUR, 0.5, 2 * NANOS_PER_HOUR, 0.25, 24 * NANOS_PER_HOUR, Math.pow(2, -24));
        weightsByAge.forEach((ageNanos, weight) ->
                assertEquals(ageNanos.toString(), weight, weightOfContactAt(NOW - ageNanos, NOW), TOLERANCE));
    }

    @Test
    public void unknownAgeWeighsHalf() {
        assertEquals("no time", 0.5, weightOfContactAt(0, NOW), TOLERANCE);
        assertEquals("no entry", 0.5, new ContactAgeWeights(NANOS_PER_HOUR, Map.of()).weight(NOW, ENDPOINT), TOLERANCE);
    }

    /** Such a time comes from a clock that was set, not from a recent contact. */
    @Test
    public void contactInTheFutureWeighsHalf() {
        assertEquals(0.5, weightOfContactAt(NOW - NANOS_PER_HOUR, NOW - 2 * NANOS_PER_HOUR), TOLERANCE);
    }
}
