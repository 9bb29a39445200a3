package fawnlb.policy;

import static fawnlb.policy.Rig.MS;
import static fawnlb.policy.Rig.S;
import static fawnlb.policy.Rig.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Refuse;
import fawnlb.decision.Balancer.Send;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ExceptionsTest {
    @Test
    void aRarePrefixStaysOnOneReplicaAndAHotOneIsDealtOverMany() {
        Rig rig = new Rig(Rig.safe()).ready(20);
        Set<Long> rare = new HashSet<>();
        Set<Long> hot = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            boolean isRare = i % 150 == 149;
            rig.request(isRare ? 5000 : i % 2 == 0 ? 6000 : 10_000 + i, 1 + i);
            Send send = rig.last();
            if (i > 300 && isRare) {
                rare.add(send.replica());
            } else if (i > 300 && i % 2 == 0) {
                hot.add(send.replica());
            }
            rig.end(send, 0, Outcome.SERVED, true);
        }
        assertEquals(1, rare.size());
        assertTrue(hot.size() >= 8, "hot prefix on " + hot.size());
    }

    @Test
    void aReplicaThatFailsToConnectIsWalkedPastUntilItAnswers() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        long home = rig.home(8);
        rig.request(0, 8);
        rig.end(rig.last(), 0, Outcome.CONNECT_FAILED, true);
        assertNotEquals(home, rig.home(8));
        rig.now += 2 * S;
        assertEquals(home, rig.home(8));
    }

    /** Three replicas of a zone that can't be reached tell of all, as long as none of them answers. */
    @Test
    void aLostZoneIsWalkedPastAsOneUntilAReplicaOfItAnswers() {
        for (int zones = 1; zones <= 2; zones++) {
            Rig rig = new Rig(Rig.safe());
            int several = zones;
            rig.list(
                    ListKind.FULL,
                    java.util.stream.LongStream.rangeClosed(1, 40)
                            .mapToObj(id -> replica(id, Phase.READY, 0, (int) (id % several)))
                            .toArray(Balancer.Replica[]::new));
            Set<Long> unreachable = new HashSet<>();
            for (long session = 1; unreachable.size() < 3; session++) {
                rig.request(0, session);
                if (rig.last().replica() % several == several - 1) {
                    unreachable.add(rig.last().replica());
                    rig.end(rig.last(), 0, Outcome.CONNECT_FAILED, true);
                } else {
                    rig.end(rig.last(), 0, Outcome.SERVED, true);
                }
            }
            assertEquals(zones == 1, sentTo(rig, several));
            rig.now += S;
            assertTrue(sentTo(rig, several), "tried again after a second");
            assertTrue(sentTo(rig, several), "answers end it");
        }
    }

    /** Whether any of 60 requests, all of them answered, goes to the last of so many zones. */
    private static boolean sentTo(Rig rig, int zones) {
        boolean sent = false;
        for (long session = 1000; session < 1060; session++) {
            sent |= rig.home(session) % zones == zones - 1;
        }
        return sent;
    }

    @Test
    void connectsThatFailCostNoRetryCredit() {
        Rig rig = new Rig(Rig.safe()).ready(20);
        for (long session = 1; session <= 40; session++) {
            rig.now += S;
            rig.request(0, session);
            rig.end(rig.last(), 0, Outcome.CONNECT_FAILED, false);
            rig.end(rig.last(), 1, Outcome.SERVED, true);
        }
        assertEquals(80, rig.sends().size());
        assertEquals(0, rig.all(Refuse.class).size());
    }

    @Test
    void aColdReplicaIsSentLittleAtFirstAndItsPartOnceWarm() {
        Rig rig = new Rig(Rig.safe()).ready(4);
        work(rig, 400);
        rig.list(ListKind.DELTA, replica(50, Phase.READY, rig.now, 0));
        int cold = work(rig, 400);
        rig.now += 10 * S;
        int warm = work(rig, 400);
        assertTrue(cold < warm / 2 && warm > 40, cold + " cold, " + warm + " warm");
    }

    @Test
    void aColdReplicaThatDrainsAndReturnsStillBecomesWarm() {
        Rig rig = new Rig(Rig.safe()).ready(4);
        long start = rig.now;
        rig.list(ListKind.DELTA, replica(50, Phase.READY, start, 0));
        rig.list(ListKind.DELTA, replica(50, Phase.DRAINING, start, 0));
        rig.now += 20 * S;
        rig.list(ListKind.DELTA, replica(50, Phase.READY, start, 0));
        assertTrue(work(rig, 400) > 40);
    }

    /** So many requests over four seconds; how many of them went to replica 50. */
    private static int work(Rig rig, int requests) {
        int at50 = 0;
        for (int i = 0; i < requests; i++) {
            rig.now += 10 * MS;
            at50 += rig.home(100_000 + i) == 50 ? 1 : 0;
        }
        return at50;
    }

    /** One replica that slows down must neither keep its part of the load nor have sessions refused for it. */
    @Test
    void aSlowReplicaGetsLessAndNothingIsRefusedForIt() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        int before = loadOn(rig, 3, 100 * MS);
        int slow = loadOn(rig, 3, 3 * S);
        int after = loadOn(rig, 3, 100 * MS);
        assertTrue(slow < before / 2 && after > before / 2, before + ", slow " + slow + ", after " + after);
        assertEquals(0, rig.all(Refuse.class).size());
    }

    /** How many of 600 requests replica {@code id} gets if its first tokens take so long; 20 are always out. */
    private static int loadOn(Rig rig, long id, long firstToken) {
        java.util.ArrayDeque<Send> out = new java.util.ArrayDeque<>();
        int there = 0;
        for (int i = 0; i < 600; i++) {
            rig.now += 10 * MS;
            rig.request(0, 50_000 + i);
            Send send = rig.last();
            there += send.replica() == id ? 1 : 0;
            rig.started(send, 0, send.replica() == id ? firstToken : 100 * MS);
            out.add(send);
            if (out.size() > 20) {
                rig.end(out.poll(), 0, Outcome.SERVED, true, 4 * S);
            }
        }
        out.forEach(send -> rig.end(send, 0, Outcome.SERVED, true, 4 * S));
        return there;
    }

    /** A stream that has only begun when its replica is replaced is cut: those next in turn get little. */
    @Test
    void whileReplicasAreReplacedInTurnTheOldestGetLess() {
        Rig rig = new Rig(Rig.safe());
        long start = rig.now - 100 * S;
        rig.list(
                ListKind.FULL,
                java.util.stream.LongStream.rangeClosed(1, 14)
                        .mapToObj(id -> replica(id, Phase.READY, start + id * S, 0))
                        .toArray(Balancer.Replica[]::new));
        int before = loadOn(rig, 3, 100 * MS);
        rig.list(ListKind.DELTA, replica(1, Phase.DRAINING, start + S, 0));
        rig.now += 2 * S;
        rig.list(ListKind.DELTA, replica(2, Phase.DRAINING, start + 2 * S, 0));
        int during = loadOn(rig, 3, 100 * MS);
        rig.now += 10 * S;
        int after = loadOn(rig, 3, 100 * MS);
        assertTrue(during < before * 0.85 && after > during * 1.4, before + ", " + during + " and " + after);
    }

    /** A replica that vanished says nothing: its request goes elsewhere while there is time to be in time. */
    @Test
    void aRequestLeavesASilentReplicaEarlyUnlessItMayNotBeRepeated() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        rig.request(0, 8);
        Send first = rig.last();
        assertEquals(rig.now + S / 2, first.stopAt());
        rig.now = first.stopAt();
        rig.end(first, 0, Outcome.TIMEOUT, false, S / 2);
        assertNotEquals(first.replica(), rig.last().replica());
        assertEquals(rig.now + S / 2, rig.last().stopAt());
        Rig unsafe = new Rig(Rig.settings(Balancer.Effect.UNSAFE, Balancer.Group.ALL)).ready(5);
        unsafe.request(0, 8);
        assertTrue(unsafe.last().stopAt() >= unsafe.now + S);
    }

    @Test
    void lateFirstTokensShedTheSameSessionsAndTimelyOnesEndIt() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        run(rig, 100, 900 * MS, S);
        int refused = rig.all(Refuse.class).size();
        assertTrue(refused > 20, "refused " + refused);
        run(rig, 400, 10 * MS, S);
        int before = rig.all(Refuse.class).size();
        run(rig, 100, 10 * MS, S);
        assertEquals(before, rig.all(Refuse.class).size());
    }

    @Test
    void slowStreamsShedAPartAndTheirRecoveryEndsIt() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        run(rig, 200, 10 * MS, S);
        assertEquals(0, rig.all(Refuse.class).size());
        run(rig, 300, 10 * MS, 6 * S);
        int refused = rig.all(Refuse.class).size();
        assertTrue(refused > 50 && refused < 250, "refused " + refused);
        run(rig, 1500, 10 * MS, S);
        int before = rig.all(Refuse.class).size();
        run(rig, 100, 10 * MS, S);
        assertEquals(before, rig.all(Refuse.class).size());
    }

    @Test
    void evenTheWorstSlownessLetsSomeSessionsThroughSoThatItCanEnd() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        run(rig, 200, 10 * MS, 20 * MS);
        run(rig, 1000, 10 * MS, 3600 * S);
        int before = rig.sends().size();
        run(rig, 1000, 10 * MS, 3600 * S);
        assertTrue(rig.sends().size() > before + 50, "sent " + (rig.sends().size() - before));
    }

    private static void run(Rig rig, int requests, long firstToken, long stream) {
        for (int i = 0; i < requests; i++) {
            int before = rig.sends().size();
            rig.request(0, 1 + i);
            if (rig.sends().size() > before) {
                Send send = rig.last();
                rig.started(send, 0, firstToken);
                rig.end(send, 0, Outcome.SERVED, true, firstToken + stream);
            }
        }
    }

    @Test
    void aTenantAboveItsShareBearsMostOfTheRefusing() {
        Balancer.Settings base = Rig.safe();
        Rig rig = new Rig(new Balancer.Settings(
                        0,
                        1,
                        0,
                        MS,
                        false,
                        base.discovery(),
                        base.reports(),
                        List.of(),
                        base.classes(),
                        List.of(new Balancer.Tenant(0.5, 1), new Balancer.Tenant(0.5, 1)),
                        base.limits(),
                        base.rules(),
                        base.costs()))
                .ready(5);
        int[] asked = new int[2];
        int[] served = new int[2];
        for (int i = 0; i < 1200; i++) {
            int tenant = i % 4 == 0 ? 1 : 0;
            int before = rig.sends().size();
            rig.request(0, 1 + i, tenant);
            boolean sent = rig.sends().size() > before;
            if (i >= 600) {
                asked[tenant]++;
                served[tenant] += sent ? 1 : 0;
            }
            if (sent) {
                Send send = rig.last();
                rig.started(send, 0, i % 2 == 0 ? 900 * MS : MS);
                rig.end(send, 0, Outcome.SERVED, true, S);
            }
        }
        double flooding = served[0] / (double) asked[0];
        double modest = served[1] / (double) asked[1];
        assertTrue(modest > flooding + 0.2, flooding + " and " + modest);
    }

    @Test
    void theCapWidensWhenMostRequestsSpillAndOnlyThen() {
        Rig rig = new Rig(Rig.safe()).ready(4);
        for (int i = 0; i < 400; i++) {
            rig.request(0, 1 + i % 7);
        }
        long most = rig.sends().stream()
                .skip(300)
                .filter(s -> s.replica() == rig.sends().get(300).replica())
                .count();
        int replicas = (int) rig.sends().stream().map(Send::replica).distinct().count();
        assertEquals(4, replicas);
        assertTrue(most > 0);
        long busiest = rig.sends().stream()
                .mapToLong(Send::replica)
                .boxed()
                .collect(java.util.stream.Collectors.groupingBy(r -> r, java.util.stream.Collectors.counting()))
                .values()
                .stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        assertTrue(busiest > Choice.cap(400, 4, Choice.NARROW), "busiest " + busiest);
    }

    /** First events forgive quick failures; a stall in mid-answer only a whole answer does. */
    @Test
    void aReplicaThatStallsMidwayIsWalkedPastUntilAnAnswerOfItIsWhole() {
        for (Outcome outcome : new Outcome[] {Outcome.STALLED, Outcome.RESET}) {
            Rig rig = new Rig(Rig.safe()).ready(5);
            long home = rig.home(11);
            rig.request(0, 11);
            Send first = rig.last();
            rig.request(0, 11);
            Send second = rig.last();
            assertEquals(home, second.replica());
            rig.started(first, 0, 100 * MS);
            rig.end(first, 0, outcome, true);
            rig.started(second, 0, 100 * MS);
            assertEquals(outcome == Outcome.RESET, home == rig.home(11));
            rig.end(second, 0, Outcome.SERVED, true);
            assertEquals(home, rig.home(11));
        }
    }

    /** Before its first event a stall is one more attempt that was in vain. */
    @Test
    void aStallBeforeTheFirstEventIsFollowedByAnotherAttempt() {
        Rig rig = new Rig(Rig.safe()).ready(5);
        rig.request(0, 11);
        Send first = rig.last();
        rig.end(first, 0, Outcome.STALLED, false);
        assertEquals(2, rig.sends().size());
        assertNotEquals(first.replica(), rig.last().replica());
    }

    /**
     * Answers of microseconds that came to take milliseconds on a busy machine once had a quiet node refuse sessions.
     */
    @Test
    void streamsTooShortToMatterRefuseNoSession() {
        Rig rig = new Rig(Rig.safe()).ready(4);
        for (int i = 0; i < 800; i++) {
            rig.request(0, i);
            Send send = rig.last();
            long stream = i < 400 ? 20_000 : 40 * MS;
            rig.started(send, 0, 100_000);
            rig.end(send, 0, Outcome.SERVED, true, 100_000 + stream);
            assertTrue(rig.all(Refuse.class).isEmpty(), "request " + i);
        }
    }
}
