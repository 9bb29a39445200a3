package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Replica;
import fawnlb.decision.Balancer.Send;
import fawnlb.decision.Balancer.TimerDue;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.junit.Test;

/** Many short lives of replicas, sessions and prefixes on one clock, and what the module keeps at the end. */
public class LongDayTest {
    private static final int LIVE = 10;
    private static final int ROUNDS = 4000;

    private static Object field(Object holder, String name) throws ReflectiveOperationException {
        Field field = holder.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(holder);
    }

    private static int kept(Object holder, String name) throws ReflectiveOperationException {
        Object value = field(holder, name);
        return value instanceof Map<?, ?> map
                ? map.size()
                : value instanceof Collection<?> all ? all.size() : Array.getLength(value);
    }

    @Test
    public void whatIsGoneIsNotKept() throws Exception {
        Rig rig = new Rig(Rig.safe()).ready(LIVE);
        Outcome[] ends = {
            Outcome.SERVED, Outcome.RESET, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.SERVED
        };
        Map<Long, Integer> attempts = new HashMap<>();
        for (int i = 0; i < ROUNDS; i++) {
            rig.now += 60 * Rig.MS;
            Replica joins = Rig.replica(LIVE + 1 + i, Phase.READY, rig.now, i % 3);
            rig.list(ListKind.DELTA, Rig.replica(1 + i, Phase.GONE, 0, i % 3), joins);
            rig.request(1_000_000 + i / 50, 9_000_000L + i);
            // A request that waited for room may be sent only now, and one that failed once more.
            for (int seen = 0; seen < rig.sends().size(); seen++) {
                Send send = rig.sends().get(seen);
                int attempt = attempts.merge(send.request(), 1, Integer::sum) - 1;
                Outcome outcome = attempt < 3 ? ends[(i + attempt) % ends.length] : Outcome.SERVED;
                if (outcome == Outcome.SERVED) {
                    rig.started(send, attempt, 50 * Rig.MS);
                }
                rig.end(send, attempt, outcome, outcome == Outcome.SERVED);
            }
            rig.actions.clear();
        }
        // Those that still wait for room are refused when their time is up.
        rig.now += 10 * Rig.S;
        rig.choice.on(rig.now, new TimerDue(1));
        assertEquals(LIVE, kept(rig.choice, "nodes"));
        HashRing<?> ring = (HashRing<?>) field(rig.choice, "ring");
        assertEquals(LIVE * HashRing.POINTS, ring.size());
        assertTrue(kept(ring, "points") <= 2 * LIVE * HashRing.POINTS);
        assertTrue("numbers of those that left are used again", kept(ring, "servers") <= LIVE + 2);
        assertEquals(0, kept(rig.choice, "tasks"));
        assertEquals(0, kept(rig.choice, "held"));
        RecentRequests recent = (RecentRequests) field(rig.choice, "recent");
        assertTrue(recent.size() <= Choice.RECENT_PER_REPLICA * 16);
        assertTrue(kept(recent, "sums") <= Choice.RECENT_PER_REPLICA * 16);
        assertTrue(kept(recent, "keys") <= 2 * Choice.RECENT_PER_REPLICA * 16);
        assertTrue("cold ones of 9 s", kept(rig.choice, "coldNodes") <= 9000 / 60 + 2);
    }
}
