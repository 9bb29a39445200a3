package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import java.util.List;
import org.junit.Test;

public class EndpointStartTimesTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLISECOND;
    private static final long NANOS_PER_HOUR = 3600 * NANOS_PER_SECOND;
    /** The time on the clock of the reported starts, when a test begins. */
    private static final long TRUE_TIME = 1_000_000 * NANOS_PER_SECOND;

    private static final long[] CLOCK_OFFSETS_NANOS = {
        0,
        NANOS_PER_HOUR,
        -NANOS_PER_HOUR,
        3 * NANOS_PER_SECOND,
        -3 * NANOS_PER_SECOND,
        20 * NANOS_PER_SECOND,
        -20 * NANOS_PER_SECOND
    };

    private final EndpointStartTimes starts = new EndpointStartTimes();

    private static DiscoveredEndpoint endpoint(int number, long startedAtNanos) {
        return endpoint(String.format("s-%08x", number), startedAtNanos);
    }

    private static DiscoveredEndpoint endpoint(String id, long startedAtNanos) {
        return new DiscoveredEndpoint(
                EndpointId.of(id),
                "127.0.0.1",
                1,
                "a",
                "c",
                0,
                EndpointPhase.READY,
                1,
                startedAtNanos / NANOS_PER_MILLISECOND);
    }

    private void receiveList(long now, DiscoveredEndpoint... endpoints) {
        starts.recordStarts(new EndpointList(1, false, List.of(endpoints)), now);
        starts.recordContact(now);
    }

    private long ageNanos(long now, DiscoveredEndpoint endpoint) {
        return now - starts.startedAt(endpoint);
    }

    /** Guards against slow starts that are skipped: of endpoints whose ids end alike, the later start hid the other. */
    @Test
    public void endpointsWhoseIdsEndAlikeHaveStartsOfTheirOwn() {
        DiscoveredEndpoint young = endpoint("s-0000000a", TRUE_TIME - NANOS_PER_SECOND);
        DiscoveredEndpoint old = endpoint("t-0000000a", TRUE_TIME - NANOS_PER_HOUR);

        receiveList(TRUE_TIME, young, old);

        assertEquals(NANOS_PER_SECOND, ageNanos(TRUE_TIME, young));
        assertEquals(NANOS_PER_HOUR, ageNanos(TRUE_TIME, old));
    }

    @Test
    public void endpointThatJoinsOnALiveWatchIsNoOlderThanTheLastContact() {
        for (long offset : CLOCK_OFFSETS_NANOS) {
            EndpointStartTimes fresh = new EndpointStartTimes();
            long now = TRUE_TIME + offset;
            fresh.recordStarts(new EndpointList(1, true, List.of(endpoint(1, 0))), now);
            fresh.recordContact(now);
            fresh.recordContact(now + 2 * NANOS_PER_SECOND);
            // It started 1.5 s before it was reported, and the last heartbeat came 0.5 s before that.
            DiscoveredEndpoint joined = endpoint(2, TRUE_TIME + 1000 * NANOS_PER_MILLISECOND);
            fresh.recordStarts(new EndpointList(2, false, List.of(joined)), now + 2500 * NANOS_PER_MILLISECOND);
            long ageNanos = now + 2500 * NANOS_PER_MILLISECOND - fresh.startedAt(joined);
            assertTrue(
                    "clock off by " + offset / NANOS_PER_MILLISECOND + " ms: " + ageNanos / NANOS_PER_MILLISECOND,
                    ageNanos >= 0 && ageNanos <= 500 * NANOS_PER_MILLISECOND);
        }
    }

    @Test
    public void endpointStartedDuringAnOutageIsAgedByItsStartWhenClocksAgree() {
        receiveList(TRUE_TIME, endpoint(1, 0));
        DiscoveredEndpoint joined = endpoint(2, TRUE_TIME + 7 * NANOS_PER_SECOND);
        receiveList(TRUE_TIME + 10 * NANOS_PER_SECOND, endpoint(1, 0), joined);
        assertEquals(3 * NANOS_PER_SECOND, ageNanos(TRUE_TIME + 10 * NANOS_PER_SECOND, joined));
    }

    @Test
    public void clockAheadIsDetectedByAStartReportedAfterAnOutage() {
        long now = TRUE_TIME + NANOS_PER_HOUR;
        receiveList(now, endpoint(1, 0));
        DiscoveredEndpoint joined = endpoint(2, TRUE_TIME + 7 * NANOS_PER_SECOND);
        receiveList(now + 10 * NANOS_PER_SECOND, joined);
        assertEquals(0, ageNanos(now + 10 * NANOS_PER_SECOND, joined));
        DiscoveredEndpoint next = endpoint(3, TRUE_TIME + 17 * NANOS_PER_SECOND);
        receiveList(now + 20 * NANOS_PER_SECOND, next);
        assertEquals(
                "by the clock offset that is known now",
                0,
                ageNanos(now + 20 * NANOS_PER_SECOND, next),
                3 * NANOS_PER_SECOND);
    }

    @Test
    public void clockBehindAgesTheFirstListRelativeToItsLatestStart() {
        long now = TRUE_TIME - NANOS_PER_HOUR;
        DiscoveredEndpoint late = endpoint(1, TRUE_TIME - NANOS_PER_SECOND);
        DiscoveredEndpoint early = endpoint(2, TRUE_TIME - 5 * NANOS_PER_SECOND);
        DiscoveredEndpoint old = endpoint(3, 0);
        receiveList(now, early, late, old);
        assertEquals(0, ageNanos(now, late));
        assertEquals(4 * NANOS_PER_SECOND, ageNanos(now, early));
        assertEquals(0, starts.startedAt(old));
    }

    @Test
    public void firstListIsAcceptedUnlessContradicted() {
        DiscoveredEndpoint joined = endpoint(1, TRUE_TIME - 4 * NANOS_PER_SECOND);
        receiveList(TRUE_TIME, joined);
        assertEquals(4 * NANOS_PER_SECOND, ageNanos(TRUE_TIME, joined));
    }

    @Test
    public void endpointThatReturnsWithoutARestartKeepsItsAge() {
        DiscoveredEndpoint joined = endpoint(1, TRUE_TIME - 4 * NANOS_PER_SECOND);
        receiveList(TRUE_TIME, joined);
        receiveList(
                TRUE_TIME + NANOS_PER_SECOND,
                new DiscoveredEndpoint(joined.id(), "", 0, "a", "c", 0, EndpointPhase.GONE, 1, 0));
        receiveList(TRUE_TIME + 2 * NANOS_PER_SECOND, joined);
        assertEquals(6 * NANOS_PER_SECOND, ageNanos(TRUE_TIME + 2 * NANOS_PER_SECOND, joined));
    }

    @Test
    public void restartResetsTheAgeAndAnOlderStartIsIgnored() {
        DiscoveredEndpoint first = endpoint(1, TRUE_TIME - 100 * NANOS_PER_SECOND);
        receiveList(TRUE_TIME, first);
        DiscoveredEndpoint restarted = endpoint(1, TRUE_TIME + NANOS_PER_SECOND);
        receiveList(TRUE_TIME + NANOS_PER_SECOND, restarted);
        assertEquals(0, ageNanos(TRUE_TIME + NANOS_PER_SECOND, restarted));
        receiveList(TRUE_TIME + 2 * NANOS_PER_SECOND, first);
        assertEquals(NANOS_PER_SECOND, ageNanos(TRUE_TIME + 2 * NANOS_PER_SECOND, first));
    }

    @Test
    public void agesStayBoundedWhenTheReportedClockSteps() {
        receiveList(TRUE_TIME, endpoint(1, 0));
        for (long step : new long[] {NANOS_PER_HOUR, -NANOS_PER_HOUR}) {
            long now = TRUE_TIME + NANOS_PER_SECOND + Math.abs(step) / NANOS_PER_HOUR;
            DiscoveredEndpoint joined =
                    endpoint((int) (step / NANOS_PER_HOUR + 10), TRUE_TIME + NANOS_PER_SECOND + step);
            receiveList(now, joined);
            assertTrue(ageNanos(now, joined) >= 0 && ageNanos(now, joined) <= 2 * NANOS_PER_SECOND);
        }
    }
}
