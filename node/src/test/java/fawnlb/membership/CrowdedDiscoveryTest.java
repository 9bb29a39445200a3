package fawnlb.membership;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Balancer.ListKind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.Test;

/**
 * A fleet and a discovery that is hardly large enough for it, as on the operators' day {@code herd+mass}: calls wait
 * their turn, one that has waited for 2 s is refused, and its work is done all the same. Retries that are too quick
 * keep its queue longer than that for good, so that nobody is answered any more.
 */
public class CrowdedDiscoveryTest {
    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;
    private static final long TICK = 5 * MS;
    /** How long a call waits for its turn before it is refused. */
    private static final long MAX_WAIT = 2 * S;

    private static final long GRACE = 750 * MS;
    /** A restarted node is to be ready within 10 s, and takes a part of that to start. */
    private static final long RESTARTED_WITHIN = 8500 * MS;

    private static final long DOWN_FROM = 4 * S;
    private static final long UP_FROM = 12 * S;
    private static final long RESTART = 16 * S;

    private record Due(long at, long order, Runnable task) {}

    /** One clock, one discovery, and the nodes that call it. */
    private static final class Fleet {
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private final SplittableRandom random;
        private final int size;
        private final long callTime;
        private long now;
        private long order;
        private long busyUntil;
        private int calls;

        Fleet(int size, long callTime, long seed) {
            this.size = size;
            this.callTime = callTime;
            this.random = new SplittableRandom(seed);
        }

        void at(long time, Runnable task) {
            due.add(new Due(Math.max(now, time), order++, task));
        }

        void playUntil(long end) {
            while (!due.isEmpty() && due.peek().at() <= end) {
                Due next = due.poll();
                now = next.at();
                next.task().run();
            }
            now = end;
        }

        boolean isUp(long time) {
            return time < DOWN_FROM || time >= UP_FROM;
        }

        /** A call of this node: answered in its turn, or refused when it has waited for too long. */
        void call(Node node) {
            calls++;
            long made = now;
            long done = Math.max(now, busyUntil) + callTime;
            if (!isUp(made)) {
                at(made + MAX_WAIT, () -> node.heard(ListKind.CROWDED));
                return;
            }
            busyUntil = done;
            if (done - made > MAX_WAIT) {
                at(made + MAX_WAIT, () -> node.heard(ListKind.CROWDED));
            } else {
                at(done, () -> node.heard(isUp(now) ? ListKind.DELTA : ListKind.FAILED));
            }
        }
    }

    /** One process of a node. */
    private static final class Node {
        private final Fleet fleet;
        private final SubscriptionSchedule schedule;
        private boolean killed;
        private boolean following;
        private long answeredAt = -1;

        Node(Fleet fleet) {
            this.fleet = fleet;
            this.schedule = new SubscriptionSchedule(fleet.size, 10 * S, fleet.random::nextDouble);
            heard(ListKind.CACHED);
        }

        void heard(ListKind kind) {
            if (killed) {
                return;
            }
            following = kind == ListKind.DELTA;
            answeredAt = following ? fleet.now : answeredAt;
            schedule.heard(fleet.now, kind).ifPresent(at -> fleet.at(at, this::look));
        }

        private void look() {
            if (!killed && schedule.isDue(fleet.now, TICK)) {
                long next = schedule.called(fleet.now);
                fleet.at(next, this::look);
                fleet.call(this);
            }
        }

        void watchEnds() {
            if (following) {
                heard(ListKind.FAILED);
            }
        }
    }

    /** Nodes that were answered later than they should, in seconds after discovery was back, or after their start. */
    private static List<String> late(int size, long callTime, double restarted, long seed) {
        Fleet fleet = new Fleet(size, callTime, seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(fleet));
        }
        fleet.playUntil(DOWN_FROM);
        for (Node node : nodes) {
            fleet.at(DOWN_FROM + fleet.random.nextLong(S), node::watchEnds);
        }
        fleet.playUntil(UP_FROM + S / 2);
        int killed = (int) (restarted * size);
        nodes.subList(0, killed).forEach(node -> node.killed = true);
        fleet.playUntil(RESTART);
        for (int i = 0; i < killed; i++) {
            // They are started together, and come up on busy machines.
            int number = i;
            fleet.at(RESTART + fleet.random.nextLong(S / 4), () -> nodes.set(number, new Node(fleet)));
        }
        fleet.playUntil(RESTART + 20 * S);
        List<String> late = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            long from = i < killed ? RESTART : UP_FROM;
            long answered = nodes.get(i).answeredAt;
            long within = i < killed ? RESTARTED_WITHIN : SubscriptionSchedule.COUNTS_AS_TOLD + GRACE;
            if (answered < from || answered - from > within) {
                late.add(i + (i < killed ? " restarted" : "") + ": " + (answered - from) / MS + " ms");
            }
        }
        return late;
    }

    @Test
    public void everyNodeOfALargeFleetIsAnsweredInTimeAfterAnOutageAndARestart() {
        List<String> late = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            late.addAll(late(100, 68 * MS, 0.7, seed));
        }
        assertEquals(late.toString(), 0, late.size());
    }

    @Test
    public void everyNodeOfALargeFleetIsAnsweredInTimeAfterAnOutageAlone() {
        List<String> late = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            late.addAll(late(100, 50 * MS, 0, seed));
        }
        assertEquals(late.toString(), 0, late.size());
    }

    @Test
    public void smallFleetsAreAnsweredSoonAfterAnOutage() {
        for (int size : new int[] {1, 3, 8, 20}) {
            for (long seed = 0; seed < 20; seed++) {
                List<String> late = late(size, 100 * MS, 0.7, seed);
                assertTrue(size + " nodes: " + late, late.isEmpty());
            }
        }
    }
}
