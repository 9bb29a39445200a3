package fawnlb.policy;

import static fawnlb.policy.Rig.S;
import static fawnlb.policy.Rig.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.Costs;
import fawnlb.decision.Balancer.Discovery;
import fawnlb.decision.Balancer.Effect;
import fawnlb.decision.Balancer.Fail;
import fawnlb.decision.Balancer.Group;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Refuse;
import fawnlb.decision.Balancer.Request;
import fawnlb.decision.Balancer.Send;
import fawnlb.decision.Balancer.Subscribe;
import fawnlb.decision.Balancer.TimerDue;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RulesTest {
    /** Ends the only attempt of a new request so, and gives the module. */
    private static Rig after(Effect effect, Group group, Outcome outcome) {
        Rig rig = new Rig(Rig.settings(effect, group)).ready(6);
        rig.request(0, 9);
        rig.end(rig.last(), 0, outcome, false);
        return rig;
    }

    @Test
    void safeRequestsAreTriedAgainElsewhereOnFailure() {
        List<Send> sends = after(Effect.SAFE, Group.ALL, Outcome.ERROR).sends();
        assertEquals(2, sends.size());
        assertNotEquals(sends.get(0).replica(), sends.get(1).replica());
    }

    @Test
    void unsafeRequestsThatMayHaveRunAreFailedAndNotRefusedNorRepeated() {
        Rig rig = after(Effect.UNSAFE, Group.ALL, Outcome.RESET);
        assertEquals(1, rig.sends().size());
        assertEquals(1, rig.all(Fail.class).size());
        assertEquals(0, rig.all(Refuse.class).size());
    }

    @Test
    void unsafeRequestsThatNeverRanAreTriedAgain() {
        assertEquals(2, after(Effect.UNSAFE, Group.ALL, Outcome.FULL).sends().size());
    }

    @Test
    void keyedRequestsStayWithTheirGroup() {
        Rig zone = after(Effect.KEYED, Group.ZONE, Outcome.ERROR);
        assertEquals(2, zone.sends().size());
        assertEquals(zone.sends().get(0).replica() % 3, zone.sends().get(1).replica() % 3);
        Rig cell = after(Effect.KEYED, Group.CELL, Outcome.ERROR);
        assertEquals(1, cell.sends().size());
        assertEquals(1, cell.all(Fail.class).size());
    }

    @Test
    void keyedRequestsAreNotRepeatedAfterTheirWindow() {
        Rig rig = new Rig(Rig.settings(Effect.KEYED, Group.ALL)).ready(6);
        rig.request(0, 9);
        rig.now += 5 * S;
        rig.end(rig.last(), 0, Outcome.ERROR, false);
        assertEquals(1, rig.sends().size());
        assertEquals(1, rig.all(Refuse.class).size());
    }

    @Test
    void unknownClassesCountAsUnsafe() {
        Rig rig = new Rig(Rig.safe()).ready(3);
        rig.choice.on(rig.now, new Request(1, 9, 0, 1, 0, S, 0, 1, 0, 1, false, false, false));
        rig.end(rig.last(), 0, Outcome.ERROR, false);
        assertEquals(1, rig.sends().size());
        assertEquals(1, rig.all(Fail.class).size());
    }

    @Test
    void aTimeOutIsAnsweredAtOnceAndOnlyOnce() {
        Rig rig = new Rig(Rig.safe()).ready(6);
        rig.request(0, 9);
        rig.now += 4 * S;
        rig.end(rig.last(), 0, Outcome.TIMEOUT, false);
        assertEquals(1, rig.sends().size());
        assertEquals(1, rig.all(Refuse.class).size());
        rig.end(rig.last(), 0, Outcome.TIMEOUT, true);
        assertEquals(1, rig.all(Refuse.class).size());
    }

    @Test
    void nothingIsSentForARequestThatIsOver() {
        assertEquals(1, endOver().sends().size());
        assertEquals(0, endOver().all(Refuse.class).size());
    }

    private static Rig endOver() {
        Rig rig = new Rig(Rig.safe()).ready(6);
        rig.request(0, 9);
        rig.started(rig.last(), 0, 1000);
        rig.now += 20 * S;
        rig.end(rig.last(), 0, Outcome.RESET, true);
        return rig;
    }

    @Test
    void withNoReplicaARequestIsHeldThenRefusedBeforeItsDeadline() {
        Rig rig = new Rig(Rig.safe()).list(ListKind.CACHED);
        rig.request(1, 2);
        assertEquals(1, rig.all(Balancer.Timer.class).size());
        long end = rig.now + 4 * S;
        while (rig.all(Refuse.class).isEmpty() && rig.now < end) {
            Balancer.Timer timer = rig.all(Balancer.Timer.class)
                    .get(rig.all(Balancer.Timer.class).size() - 1);
            rig.now = timer.at();
            rig.choice.on(rig.now, new TimerDue(timer.token()));
        }
        assertEquals(1, rig.all(Refuse.class).size());
        assertTrue(rig.now < end);
    }

    @Test
    void aHeldRequestIsSentWhenAReplicaComes() {
        Rig rig = new Rig(Rig.safe()).list(ListKind.CACHED, replica(1, Phase.DRAINING, 0, 0));
        rig.request(1, 2);
        assertEquals(0, rig.sends().size());
        rig.list(ListKind.DELTA, replica(2, Phase.READY, 0, 0));
        assertEquals(2, rig.last().replica());
    }

    @Test
    void oddNumbersLoseNoRequest() {
        for (double odd : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -5, 0}) {
            for (long expires : new long[] {0, -1, Long.MAX_VALUE}) {
                Rig rig = new Rig(Rig.safe()).ready(2);
                rig.choice.on(rig.now, new Request(1, 0, 99, 0, 0, expires, -3, odd, odd, odd, true, true, true));
                assertEquals(1, rig.sends().size() + rig.all(Refuse.class).size());
            }
        }
    }

    @Test
    void eventsForUnknownRequestsAreIgnored() {
        Rig rig = new Rig(Rig.safe()).ready(2);
        Send stranger = new Send(55, 1, 0);
        rig.end(stranger, 0, Outcome.SERVED, true);
        rig.started(stranger, 3, 1);
        rig.choice.on(rig.now, new Balancer.ClientGone(55));
        rig.choice.on(rig.now, new TimerDue(-7));
        rig.choice.on(rig.now, new Balancer.PeerMessage(1, new byte[3]));
        rig.choice.on(rig.now, new Balancer.Probed(1, Outcome.SERVED, 1, List.of(Double.NaN)));
        assertEquals(List.of(), rig.actions);
    }

    @Test
    void retriesAreBudgeted() {
        Rig rig = new Rig(Rig.safe()).ready(30);
        int tries = 200;
        for (int i = 0; i < tries; i++) {
            long id = rig.request(0, 1000 + i);
            for (int attempt = 0; rig.last().request() == id && attempt < 4; attempt++) {
                int before = rig.sends().size();
                rig.end(rig.last(), attempt, Outcome.FULL, false);
                if (rig.sends().size() == before) {
                    break;
                }
            }
        }
        assertTrue(rig.sends().size() <= tries * (1 + Choice.RETRY_PART) + Choice.RETRY_BURST);
    }

    @Test
    void aLostSubscriptionIsAskedForAgainAndNeverTwiceAtOnce() {
        Rig rig = new Rig(Rig.settings(Effect.SAFE, Group.ALL, Discovery.ASKED, new Costs(0, 0)))
                .list(ListKind.CACHED, replica(1, Phase.READY, 0, 0));
        due(rig);
        rig.choice.on(rig.now, new TimerDue(0));
        assertEquals(1, rig.all(Subscribe.class).size());
        rig.list(ListKind.FAILED);
        due(rig);
        assertEquals(2, rig.all(Subscribe.class).size());
        rig.list(ListKind.DELTA);
        due(rig);
        assertEquals(2, rig.all(Subscribe.class).size());
    }

    @Test
    void aCallThatIsNeverAnsweredIsMadeAgain() {
        Rig rig = new Rig(Rig.settings(Effect.SAFE, Group.ALL, Discovery.ASKED, new Costs(0, 0)))
                .list(ListKind.CACHED, replica(1, Phase.READY, 0, 0));
        due(rig);
        due(rig);
        assertEquals(2, rig.all(Subscribe.class).size());
    }

    @Test
    void aPushedListIsNotAskedFor() {
        Rig rig = new Rig(Rig.safe()).list(ListKind.CACHED, replica(1, Phase.READY, 0, 0));
        assertEquals(List.of(), rig.actions);
    }

    @Test
    void aClientThatLeavesHasItsAttemptCancelledOnlyWhereThatIsAllowed() {
        Balancer.Settings base = Rig.safe();
        for (boolean allowed : new boolean[] {true, false}) {
            Balancer.Limits limits = new Balancer.Limits(4, 1000, false, allowed, false, false, 0);
            Rig rig = new Rig(new Balancer.Settings(
                            0,
                            1,
                            0,
                            Rig.MS,
                            false,
                            base.discovery(),
                            base.reports(),
                            List.of(),
                            base.classes(),
                            List.of(),
                            limits,
                            base.rules(),
                            base.costs()))
                    .ready(4);
            long id = rig.request(0, 5);
            rig.choice.on(rig.now, new Balancer.ClientGone(id));
            assertEquals(allowed ? 1 : 0, rig.all(Balancer.Cancel.class).size());
            rig.end(rig.last(), 0, Outcome.CANCELLED, true);
            assertEquals(1, rig.sends().size());
        }
    }

    @Test
    void aReplicaRestartedUnderItsIdIsColdAgain() {
        Rig rig = new Rig(Rig.safe()).ready(3);
        long home = rig.home(4);
        rig.list(ListKind.DELTA, replica(home, Phase.READY, rig.now, (int) (home % 3)));
        assertNotEquals(home, rig.home(4));
        rig.now += 10 * S;
        assertEquals(home, rig.home(4));
    }

    @Test
    void randomLegalOrdersOfEventsKeepOneAttemptOutAndOneFinalAnswer() {
        Outcome[] outcomes = Outcome.values();
        for (long seed = 0; seed < 30; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Rig rig = new Rig(Rig.settings(Effect.values()[(int) (seed % 3)], Group.values()[(int) (seed / 3 % 3)]))
                    .ready(8);
            for (int i = 0; i < 200; i++) {
                rig.now += random.nextInt(50) * Rig.MS;
                if (random.nextInt(5) == 0) {
                    Phase phase = Phase.values()[random.nextInt(3)];
                    rig.list(ListKind.DELTA, replica(1 + random.nextInt(8), phase, rig.now, random.nextInt(3)));
                    rig.list(ListKind.DELTA, replica(20, Phase.READY, 0, 0));
                }
                long id = rig.request(random.nextInt(4), random.nextInt(9));
                long end = rig.now + 4 * S;
                while (sent(rig, id) == 0 && finals(rig, id) == 0 && rig.now < end) {
                    rig.now += 5 * Rig.MS;
                    rig.choice.on(rig.now, new TimerDue(1));
                }
                boolean served = false;
                for (int attempt = 0; attempt < sent(rig, id); attempt++) {
                    assertEquals(attempt + 1, sent(rig, id));
                    Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                    served |= outcome == Outcome.SERVED;
                    rig.end(rig.last(), attempt, outcome, served);
                }
                assertEquals(1, finals(rig, id) + (served ? 1 : 0), "seed " + seed + " request " + id);
                assertTrue(rig.now < end);
            }
        }
    }

    private static long finals(Rig rig, long id) {
        return rig.actions.stream()
                .filter(a -> a instanceof Refuse r && r.request() == id || a instanceof Fail f && f.request() == id)
                .count();
    }

    private static int sent(Rig rig, long id) {
        return (int) rig.sends().stream().filter(send -> send.request() == id).count();
    }

    private static void due(Rig rig) {
        Balancer.Timer timer =
                rig.all(Balancer.Timer.class).get(rig.all(Balancer.Timer.class).size() - 1);
        assertTrue(timer.at() <= rig.now + 5 * S);
        rig.now = Math.max(rig.now, timer.at());
        rig.choice.on(rig.now, new TimerDue(timer.token()));
    }
}
