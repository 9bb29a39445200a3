package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Balancer.Phase;
import java.util.List;
import org.junit.Test;

public class StartTimesTest {
    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;
    private static final long HOUR = 3600 * S;
    /** The time on the clock that starts are told by, when a test begins. */
    private static final long TRUE = 1_000_000 * S;

    private static final long[] OFFSETS = {0, HOUR, -HOUR, 3 * S, -3 * S, 20 * S, -20 * S};

    private final StartTimes starts = new StartTimes();

    private static Member member(int number, long started) {
        return new Member(String.format("s-%08x", number), "127.0.0.1", 1, "a", "c", 0, Phase.READY, 1, started / MS);
    }

    private void list(long now, Member... members) {
        starts.update(new MemberList(1, false, List.of(members)), now);
        starts.heard(now);
    }

    private long age(long now, Member member) {
        return now - starts.startedAt(member);
    }

    @Test
    public void backendThatJoinsOnALiveWatchIsNeverTakenForOlderThanTheWatchsLastWordAllows() {
        for (long offset : OFFSETS) {
            StartTimes fresh = new StartTimes();
            long now = TRUE + offset;
            fresh.update(new MemberList(1, true, List.of(member(1, 0))), now);
            fresh.heard(now);
            fresh.heard(now + 2 * S);
            // It started 1.5 s before it was told, and the last empty line came 0.5 s before.
            Member joined = member(2, TRUE + 1000 * MS);
            fresh.update(new MemberList(2, false, List.of(joined)), now + 2500 * MS);
            long age = now + 2500 * MS - fresh.startedAt(joined);
            assertTrue("clock off by " + offset / MS + " ms: " + age / MS, age >= 0 && age <= 500 * MS);
        }
    }

    @Test
    public void rightClockAgesABackendThatStartedDuringAnOutageByItsStart() {
        list(TRUE, member(1, 0));
        Member joined = member(2, TRUE + 7 * S);
        list(TRUE + 10 * S, member(1, 0), joined);
        assertEquals(3 * S, age(TRUE + 10 * S, joined));
    }

    @Test
    public void clockAheadIsRefutedByAStartThatIsToldAfterAnOutage() {
        long now = TRUE + HOUR;
        list(now, member(1, 0));
        Member joined = member(2, TRUE + 7 * S);
        list(now + 10 * S, joined);
        assertEquals(0, age(now + 10 * S, joined));
        Member next = member(3, TRUE + 17 * S);
        list(now + 20 * S, next);
        assertEquals("by the difference that is known now", 0, age(now + 20 * S, next), 3 * S);
    }

    @Test
    public void clockBehindCountsStartsOfTheFirstListFromTheLatestOfThem() {
        long now = TRUE - HOUR;
        Member late = member(1, TRUE - S);
        Member early = member(2, TRUE - 5 * S);
        Member old = member(3, 0);
        list(now, early, late, old);
        assertEquals(0, age(now, late));
        assertEquals(4 * S, age(now, early));
        assertEquals(0, starts.startedAt(old));
    }

    @Test
    public void firstListIsBelievedWhereNothingRefutesIt() {
        Member joined = member(1, TRUE - 4 * S);
        list(TRUE, joined);
        assertEquals(4 * S, age(TRUE, joined));
    }

    @Test
    public void backendThatReturnsWithoutARestartIsAsOldAsBefore() {
        Member joined = member(1, TRUE - 4 * S);
        list(TRUE, joined);
        list(TRUE + S, new Member(joined.id(), "", 0, "a", "c", 0, Phase.GONE, 1, 0));
        list(TRUE + 2 * S, joined);
        assertEquals(6 * S, age(TRUE + 2 * S, joined));
    }

    @Test
    public void restartedBackendIsYoungAgainAndAnOlderStartChangesNothing() {
        Member first = member(1, TRUE - 100 * S);
        list(TRUE, first);
        Member again = member(1, TRUE + S);
        list(TRUE + S, again);
        assertEquals(0, age(TRUE + S, again));
        list(TRUE + 2 * S, first);
        assertEquals(S, age(TRUE + 2 * S, first));
    }

    @Test
    public void startsGoOnBeingRightWhenTheListedClockStepsWhileTheNodeRuns() {
        list(TRUE, member(1, 0));
        for (long step : new long[] {HOUR, -HOUR}) {
            long now = TRUE + S + Math.abs(step) / HOUR;
            Member joined = member((int) (step / HOUR + 10), TRUE + S + step);
            list(now, joined);
            assertTrue(age(now, joined) >= 0 && age(now, joined) <= 2 * S);
        }
    }
}
