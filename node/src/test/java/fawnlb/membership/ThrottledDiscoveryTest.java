package fawnlb.membership;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
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
public class ThrottledDiscoveryTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLISECOND;
    private static final long TIMER_TICK_NANOS = 5 * NANOS_PER_MILLISECOND;
    /** How long a call waits for its turn before it is refused. */
    private static final long MAX_QUEUE_WAIT_NANOS = 2 * NANOS_PER_SECOND;

    private static final long GRACE_NANOS = 750 * NANOS_PER_MILLISECOND;
    /** A restarted node is to be ready within 10 s, and takes a part of that to start. */
    private static final long RESTART_DEADLINE_NANOS = 8500 * NANOS_PER_MILLISECOND;

    private static final long OUTAGE_START = 4 * NANOS_PER_SECOND;
    private static final long OUTAGE_END = 12 * NANOS_PER_SECOND;
    private static final long RESTART_AT = 16 * NANOS_PER_SECOND;

    private record ScheduledTask(long dueAt, long order, Runnable task) {}

    /** One clock, one discovery, and the nodes that call it. */
    private static final class SimulatedFleet {
        private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::order));
        private final SplittableRandom random;
        private final int size;
        private final long callNanos;
        private long now;
        private long nextOrder;
        private long busyUntil;
        private int calls;

        SimulatedFleet(int size, long callNanos, long seed) {
            this.size = size;
            this.callNanos = callNanos;
            this.random = new SplittableRandom(seed);
        }

        void schedule(long time, Runnable task) {
            scheduled.add(new ScheduledTask(Math.max(now, time), nextOrder++, task));
        }

        void runUntil(long end) {
            while (!scheduled.isEmpty() && scheduled.peek().dueAt() <= end) {
                ScheduledTask next = scheduled.poll();
                now = next.dueAt();
                next.task().run();
            }
            now = end;
        }

        boolean isDiscoveryUp(long time) {
            return time < OUTAGE_START || time >= OUTAGE_END;
        }

        /** A call of this node: answered in its turn, or refused when it has waited for too long. */
        void call(SimulatedInstance instance) {
            calls++;
            long calledAt = now;
            long finishedAt = Math.max(now, busyUntil) + callNanos;
            if (!isDiscoveryUp(calledAt)) {
                schedule(
                        calledAt + MAX_QUEUE_WAIT_NANOS,
                        () -> instance.onDiscoveryUpdate(EndpointUpdateKind.THROTTLED));
                return;
            }
            busyUntil = finishedAt;
            if (finishedAt - calledAt > MAX_QUEUE_WAIT_NANOS) {
                schedule(
                        calledAt + MAX_QUEUE_WAIT_NANOS,
                        () -> instance.onDiscoveryUpdate(EndpointUpdateKind.THROTTLED));
            } else {
                schedule(
                        finishedAt,
                        () -> instance.onDiscoveryUpdate(
                                isDiscoveryUp(now) ? EndpointUpdateKind.DELTA : EndpointUpdateKind.FAILED));
            }
        }
    }

    /** One process of a node. */
    private static final class SimulatedInstance {
        private final SimulatedFleet fleet;
        private final SubscriptionSchedule schedule;
        private boolean killed;
        private boolean watching;
        private long answeredAt = -1;

        SimulatedInstance(SimulatedFleet fleet) {
            this.fleet = fleet;
            this.schedule = new SubscriptionSchedule(fleet.size, 10 * NANOS_PER_SECOND, fleet.random::nextDouble);
            onDiscoveryUpdate(EndpointUpdateKind.CACHED);
        }

        void onDiscoveryUpdate(EndpointUpdateKind kind) {
            if (killed) {
                return;
            }
            watching = kind == EndpointUpdateKind.DELTA;
            answeredAt = watching ? fleet.now : answeredAt;
            schedule.onDiscoveryUpdate(fleet.now, kind).ifPresent(at -> fleet.schedule(at, this::callIfDue));
        }

        private void callIfDue() {
            if (!killed && schedule.isCallDue(fleet.now, TIMER_TICK_NANOS)) {
                long next = schedule.onCallStarted(fleet.now);
                fleet.schedule(next, this::callIfDue);
                fleet.call(this);
            }
        }

        void onWatchLost() {
            if (watching) {
                onDiscoveryUpdate(EndpointUpdateKind.FAILED);
            }
        }
    }

    /** Nodes that were answered later than they should, in seconds after discovery was back, or after their start. */
    private static List<String> findLateInstances(int size, long callNanos, double restartedFraction, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, callNanos, seed);
        List<SimulatedInstance> instances = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            instances.add(new SimulatedInstance(fleet));
        }
        fleet.runUntil(OUTAGE_START);
        for (SimulatedInstance instance : instances) {
            fleet.schedule(OUTAGE_START + fleet.random.nextLong(NANOS_PER_SECOND), instance::onWatchLost);
        }
        fleet.runUntil(OUTAGE_END + NANOS_PER_SECOND / 2);
        int restartedCount = (int) (restartedFraction * size);
        instances.subList(0, restartedCount).forEach(instance -> instance.killed = true);
        fleet.runUntil(RESTART_AT);
        for (int i = 0; i < restartedCount; i++) {
            // They are started together, and come up on busy machines.
            int number = i;
            fleet.schedule(
                    RESTART_AT + fleet.random.nextLong(NANOS_PER_SECOND / 4),
                    () -> instances.set(number, new SimulatedInstance(fleet)));
        }
        fleet.runUntil(RESTART_AT + 20 * NANOS_PER_SECOND);
        List<String> late = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            long from = i < restartedCount ? RESTART_AT : OUTAGE_END;
            long answered = instances.get(i).answeredAt;
            long deadlineNanos = i < restartedCount
                    ? RESTART_DEADLINE_NANOS
                    : SubscriptionSchedule.NOTIFICATION_DEADLINE_NANOS + GRACE_NANOS;
            if (answered < from || answered - from > deadlineNanos) {
                late.add(i + (i < restartedCount ? " restarted" : "") + ": " + (answered - from) / NANOS_PER_MILLISECOND
                        + " ms");
            }
        }
        return late;
    }

    @Test
    public void largeFleetIsAnsweredInTimeAfterOutageAndRestart() {
        List<String> late = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            late.addAll(findLateInstances(100, 68 * NANOS_PER_MILLISECOND, 0.7, seed));
        }
        assertEquals(late.toString(), 0, late.size());
    }

    @Test
    public void largeFleetIsAnsweredInTimeAfterOutage() {
        List<String> late = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            late.addAll(findLateInstances(100, 50 * NANOS_PER_MILLISECOND, 0, seed));
        }
        assertEquals(late.toString(), 0, late.size());
    }

    @Test
    public void smallFleetsAreAnsweredInTimeAfterOutageAndRestart() {
        for (int size : new int[] {1, 3, 8, 20}) {
            for (long seed = 0; seed < 20; seed++) {
                List<String> late = findLateInstances(size, 100 * NANOS_PER_MILLISECOND, 0.7, seed);
                assertTrue(size + " nodes: " + late, late.isEmpty());
            }
        }
    }
}
