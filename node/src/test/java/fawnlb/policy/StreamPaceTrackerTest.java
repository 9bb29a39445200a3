package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import java.util.stream.LongStream;
import org.junit.Before;
import org.junit.Test;

public class StreamPaceTrackerTest {
    private static final int ENDPOINTS = 4;
    private final EndpointTable table = new EndpointTable(0);
    private final StreamPaceTracker pace = new StreamPaceTracker(table, 1);
    private final ActiveRequest request = PolicyFixtures.request(7);

    /** Endpoints 0 and 2 are of kind 0, endpoints 1 and 3 of kind 1. */
    @Before
    public void list() {
        PolicyFixtures.listReadyEndpoints(table, pace, ENDPOINTS, 2);
        pace.onReadyChanged(table.ready());
    }

    private EndpointState endpoint(long id) {
        return table.ready().stream()
                .filter(e -> e.id.equals(EndpointId.ofNumber(id)))
                .findFirst()
                .orElseThrow();
    }

    private void record(long id, int streams, long nanos) {
        for (int i = 0; i < streams; i++) {
            pace.record(endpoint(id), request, nanos);
        }
    }

    @Test
    public void slowdownIsRelativeToTheFirstStreamsOfTheClass() {
        record(0, 64, S);
        assertEquals(1, pace.slowdownOf(endpoint(0)), 1e-9);
        record(0, 200, 3 * S);
        assertEquals(3, pace.slowdownOf(endpoint(0)), 0.2);
    }

    @Test
    public void oneStreamCountsAsSixteenfoldAtMost() {
        record(0, 64, S);
        record(0, 1000, 1000 * S);
        assertEquals(16, pace.slowdownOf(endpoint(0)), 0.1);
    }

    @Test
    public void whatIsKnownOfTheKindCountsForItsOtherEndpoints() {
        record(0, 64, S);
        record(1, 200, 3 * S);
        assertEquals(3, pace.slowdownOf(endpoint(3)), 0.3);
        assertEquals(1, pace.slowdownOf(endpoint(2)), 1e-9);
    }

    @Test
    public void fastestKindIsUnknownUntilSeenOften() {
        record(0, 7, S);
        assertTrue(pace.fastestKind() > 1e9);
        record(0, 1, S);
        assertEquals(1, pace.fastestKind(), 1e-9);
    }

    @Test
    public void slowerKindKeepsAFractionOfItsKeys() {
        record(0, 64, S);
        record(1, 400, 3 * S);
        record(3, 400, 3 * S);
        double fastest = pace.fastestKind();
        long keysOfSlowKind = LongStream.range(0, 10_000)
                .filter(key -> pace.keepsKey(endpoint(1), key, fastest))
                .count();
        assertEquals(10_000 / 3.0, keysOfSlowKind, 500);
        assertTrue(LongStream.range(0, 10_000).allMatch(key -> pace.keepsKey(endpoint(0), key, fastest)));
    }

    @Test
    public void bestMedianStandsWhenStreamsSlowDown() {
        for (int id = 0; id < ENDPOINTS; id++) {
            record(id, 64, S);
        }
        record(0, 200, S / 2);
        record(2, 200, S / 2);
        record(1, 200, S / 2);
        record(3, 200, S / 2);
        double best = pace.bestMedian();
        assertEquals(0.5, best, 0.05);
        record(0, 200, 4 * S);
        record(1, 200, 4 * S);
        record(2, 200, 4 * S);
        assertEquals(best, pace.bestMedian(), 0);
        assertEquals(4, pace.median(), 0.5);
    }

    @Test
    public void streamsOfUnknownClassesAreIgnored() {
        RequestArrived arrival = new RequestArrived(1, 5, 0, 7, 0, 4 * S, 0, 500, 100, 199, false, false, false);
        ActiveRequest unknown = new ActiveRequest(arrival, PolicyFixtures.IDEMPOTENT, PolicyFixtures.NOW);
        pace.record(endpoint(0), unknown, S);
        assertEquals(0, endpoint(0).streamSamples);
    }

    @Test
    public void veryShortStreamsCountAsPartOfTheObjective() {
        record(0, 64, 20_000);
        record(0, 300, 40_000_000);
        assertEquals(1, pace.slowdownOf(endpoint(0)), 1e-9);
    }
}
