package fawnlb.membership;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Instances that call one discovery, on one clock. Calls queue at the service, which serves one at a time; a call that
 * has queued for too long is refused, and its work is done all the same. The service has an outage, after which a part
 * of the instances is restarted.
 */
final class SimulatedFleet {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLISECOND;
    private static final long TIMER_TICK_NANOS = 5 * NANOS_PER_MILLISECOND;
    private static final long POLL_DEADLINE_NANOS = 10 * NANOS_PER_SECOND;
    /** How long a call queues before it is refused. */
    private static final long MAX_QUEUE_WAIT_NANOS = 2 * NANOS_PER_SECOND;

    private static final long GRACE_NANOS = 750 * NANOS_PER_MILLISECOND;
    /** A restarted instance must be ready within 10 s, and takes a part of that to start. */
    private static final long RESTART_DEADLINE_NANOS = 8500 * NANOS_PER_MILLISECOND;

    private static final long OUTAGE_START = 4 * NANOS_PER_SECOND;
    private static final long OUTAGE_END = 12 * NANOS_PER_SECOND;
    private static final long KILLED_AT = OUTAGE_END + NANOS_PER_SECOND / 2;
    private static final long RESTARTED_AT = 16 * NANOS_PER_SECOND;
    private static final long END = RESTARTED_AT + 20 * NANOS_PER_SECOND;
    private static final long NEVER = -1;

    private final Scenario scenario;
    private final SplittableRandom random;
    private final ManualTimers timers = new ManualTimers(0);
    private final List<Instance> instances = new ArrayList<>();
    private long busyUntil;

    /**
     * What is simulated.
     *
     * @param callNanos how long discovery works on one call
     * @param restartedFraction the part of the fleet that is restarted after the outage
     */
    record Scenario(int instanceCount, long callNanos, double restartedFraction) {
        int restartedCount() {
            return (int) (restartedFraction * instanceCount);
        }
    }

    private SimulatedFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    /** Plays the scenario, and describes each instance that was answered later than it should. */
    static List<String> findLateInstances(Scenario scenario, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(scenario, seed);
        fleet.start();
        fleet.playOutage();
        fleet.restartInstances();
        fleet.timers.advanceTo(END);
        return fleet.describeLateInstances();
    }

    private void start() {
        for (int i = 0; i < scenario.instanceCount(); i++) {
            instances.add(new Instance());
        }
        timers.advanceTo(OUTAGE_START);
    }

    private void playOutage() {
        for (Instance instance : instances) {
            scheduleAt(OUTAGE_START + random.nextLong(NANOS_PER_SECOND), instance::onWatchLost);
        }
        timers.advanceTo(KILLED_AT);
    }

    /** The instances are started together, and come up one by one on busy machines. */
    private void restartInstances() {
        instances.subList(0, scenario.restartedCount()).forEach(instance -> instance.killed = true);
        timers.advanceTo(RESTARTED_AT);
        for (int i = 0; i < scenario.restartedCount(); i++) {
            int index = i;
            scheduleAt(
                    RESTARTED_AT + random.nextLong(NANOS_PER_SECOND / 4), () -> instances.set(index, new Instance()));
        }
    }

    private List<String> describeLateInstances() {
        List<String> late = new ArrayList<>();
        for (int i = 0; i < instances.size(); i++) {
            boolean restarted = i < scenario.restartedCount();
            long callableFrom = restarted ? RESTARTED_AT : OUTAGE_END;
            long deadlineNanos =
                    restarted ? RESTART_DEADLINE_NANOS : SubscriptionSchedule.NOTIFICATION_DEADLINE_NANOS + GRACE_NANOS;
            long delayNanos = instances.get(i).answeredAt - callableFrom;
            if (delayNanos < 0 || delayNanos > deadlineNanos) {
                late.add(i + (restarted ? " restarted" : "") + ": " + delayNanos / NANOS_PER_MILLISECOND + " ms");
            }
        }
        return late;
    }

    private void scheduleAt(long time, Runnable task) {
        timers.schedule(time - timers.now(), task);
    }

    private static boolean isDiscoveryUp(long time) {
        return time < OUTAGE_START || time >= OUTAGE_END;
    }

    /** Answers the call in its turn, or refuses it when it has queued for too long. */
    private void call(Instance instance) {
        long calledAt = timers.now();
        long finishedAt = Math.max(calledAt, busyUntil) + scenario.callNanos();
        boolean accepted = isDiscoveryUp(calledAt);
        if (accepted) {
            busyUntil = finishedAt;
        }
        if (accepted && finishedAt - calledAt <= MAX_QUEUE_WAIT_NANOS) {
            scheduleAt(finishedAt, () -> instance.onDiscoveryUpdate(answerAt(timers.now())));
        } else {
            scheduleAt(calledAt + MAX_QUEUE_WAIT_NANOS, () -> instance.onDiscoveryUpdate(EndpointUpdateKind.THROTTLED));
        }
    }

    private static EndpointUpdateKind answerAt(long time) {
        return isDiscoveryUp(time) ? EndpointUpdateKind.DELTA : EndpointUpdateKind.FAILED;
    }

    /** One process of an instance. */
    private final class Instance {
        private final SubscriptionSchedule schedule =
                new SubscriptionSchedule(scenario.instanceCount(), POLL_DEADLINE_NANOS, random::nextDouble);
        private boolean killed;
        private boolean watching;
        private long answeredAt = NEVER;

        Instance() {
            onDiscoveryUpdate(EndpointUpdateKind.CACHED);
        }

        void onDiscoveryUpdate(EndpointUpdateKind kind) {
            if (killed) {
                return;
            }
            watching = kind == EndpointUpdateKind.DELTA;
            answeredAt = watching ? timers.now() : answeredAt;
            schedule.onDiscoveryUpdate(timers.now(), kind).ifPresent(at -> scheduleAt(at, this::callIfDue));
        }

        private void callIfDue() {
            if (!killed && schedule.isCallDue(timers.now(), TIMER_TICK_NANOS)) {
                scheduleAt(schedule.onCallStarted(timers.now()), this::callIfDue);
                call(this);
            }
        }

        void onWatchLost() {
            if (watching) {
                onDiscoveryUpdate(EndpointUpdateKind.FAILED);
            }
        }
    }
}
