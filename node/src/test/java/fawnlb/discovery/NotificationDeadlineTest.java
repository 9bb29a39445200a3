package fawnlb.discovery;

import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerAction.WatchEndpoints;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.membership.SubscriptionSchedule;
import fawnlb.policy.BoundedLoadBalancer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.Test;

/**
 * A change counts as told 6 s after discovery had it and could be reached, whatever was allowed to fail before. Each
 * path on which a node learns of it late, at its worst: with the pause that the module draws, on one clock.
 */
public class NotificationDeadlineTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NOTIFICATION_DEADLINE_NANOS = SubscriptionSchedule.NOTIFICATION_DEADLINE_NANOS;
    /** What the call takes that is then answered. */
    private static final long ANSWERED_CALL_NANOS = NANOS_PER_SECOND / 2;

    /**
     * A path: how long after the change could first be had the node still learns, at the latest, that it has to call
     * again.
     */
    private record DetectionPath(String name, long detectionNanos) {}

    private static final List<DetectionPath> DETECTION_PATHS = List.of(
            new DetectionPath(
                    "a watch that fell silent with the change", DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS),
            new DetectionPath("a watch that was reset with the change", 0),
            new DetectionPath("a call that was refused just before", 0),
            new DetectionPath("a call whose connection never came up", DiscoveryTimeouts.CONNECT_TIMEOUT_NANOS),
            new DetectionPath("a call that was never answered", DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS));

    /** One module, and the timers that it has set. */
    private static final class SimulatedInstance {
        private final PriorityQueue<SetTimer> pendingTimers =
                new PriorityQueue<>(Comparator.comparingLong(SetTimer::dueAt));
        private final List<Long> callTimes = new ArrayList<>();
        private final LoadBalancer loadBalancer;
        private long now = 100 * NANOS_PER_SECOND;

        SimulatedInstance(int instanceCount, long pollDeadlineNanos, long seed) {
            LoadBalancerSettings.RequestClass type = new LoadBalancerSettings.RequestClass(
                    Idempotency.IDEMPOTENT,
                    IdempotencyScope.ALL,
                    0,
                    NANOS_PER_SECOND,
                    0,
                    4 * NANOS_PER_SECOND,
                    0,
                    1,
                    0,
                    true);
            loadBalancer = new BoundedLoadBalancer(
                    new LoadBalancerSettings(
                            0,
                            instanceCount,
                            0,
                            NANOS_PER_SECOND / 1000,
                            false,
                            LoadBalancerSettings.DiscoveryMode.WATCHED,
                            LoadBalancerSettings.LoadReporting.NONE,
                            List.of(),
                            List.of(type),
                            List.of(),
                            new LoadBalancerSettings.Limits(4, 1000, false, true, false, false, NANOS_PER_SECOND),
                            new LoadBalancerSettings.EndpointLifecycle(
                                    NANOS_PER_SECOND,
                                    pollDeadlineNanos,
                                    0.3,
                                    9 * NANOS_PER_SECOND,
                                    2.5,
                                    NANOS_PER_SECOND),
                            new LoadBalancerSettings.Costs(0, 0)),
                    seed,
                    this::onAction);
            receive(EndpointUpdateKind.CACHED);
        }

        private void onAction(LoadBalancerAction action) {
            if (action instanceof SetTimer timer) {
                pendingTimers.add(timer);
            } else if (action instanceof WatchEndpoints) {
                callTimes.add(now);
            }
        }

        void receive(EndpointUpdateKind kind) {
            loadBalancer.onEvent(now, new EndpointsUpdated(kind, 1, List.of()));
        }

        /** It has called once and was answered. */
        SimulatedInstance startWatching() {
            runUntilNextCall();
            receive(EndpointUpdateKind.DELTA);
            return this;
        }

        /** So many times it was told of a failure and has called again. */
        SimulatedInstance failCalls(int failures) {
            for (int i = 0; i < failures; i++) {
                receive(EndpointUpdateKind.FAILED);
                runUntilNextCall();
            }
            return this;
        }

        /** When it calls next. */
        long runUntilNextCall() {
            for (int before = callTimes.size(); callTimes.size() == before; ) {
                SetTimer timer = pendingTimers.poll();
                now = Math.max(now, timer.dueAt());
                loadBalancer.onEvent(now, new TimerFired(timer.token()));
            }
            return now;
        }
    }

    @Test
    public void changeIsKnownBeforeTheDeadlineAfterAnyEarlierFailures() {
        for (DetectionPath path : DETECTION_PATHS) {
            for (int instanceCount : new int[] {1, 6, 30, 100}) {
                for (long pollDeadlineNanos :
                        new long[] {4 * NANOS_PER_SECOND, 10 * NANOS_PER_SECOND, 60 * NANOS_PER_SECOND}) {
                    for (int failures = 0; failures < 7; failures++) {
                        for (long seed = 0; seed < 40; seed++) {
                            SimulatedInstance instance = new SimulatedInstance(instanceCount, pollDeadlineNanos, seed)
                                    .startWatching()
                                    .failCalls(failures);
                            long changedAt = instance.now;
                            instance.now += path.detectionNanos();
                            instance.receive(EndpointUpdateKind.FAILED);
                            long delayNanos = instance.runUntilNextCall() + ANSWERED_CALL_NANOS - changedAt;
                            assertTrue(
                                    path.name() + ", " + instanceCount + " nodes, " + failures + " failures before: "
                                            + delayNanos,
                                    delayNanos <= NOTIFICATION_DEADLINE_NANOS);
                        }
                    }
                }
            }
        }
    }

    /**
     * Calls that fail one after another although discovery can be reached; what fails first takes the longest to be
     * noticed.
     */
    private record FailureSequence(String name, long... detectionNanos) {}

    private static final List<FailureSequence> FAILURE_SEQUENCES = List.of(
            new FailureSequence("silent, refused", DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS, 0),
            new FailureSequence("silent, refused, refused", DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS, 0, 0),
            new FailureSequence("reset, refused, refused", 0, 0, 0),
            new FailureSequence("refused, refused, refused", 0, 0, 0),
            new FailureSequence("no connection, refused, refused", DiscoveryTimeouts.CONNECT_TIMEOUT_NANOS, 0, 0),
            new FailureSequence("refused, no connection, refused", 0, DiscoveryTimeouts.CONNECT_TIMEOUT_NANOS, 0),
            new FailureSequence(
                    "no answer, no answer",
                    DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS,
                    DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS),
            new FailureSequence("no answer, refused", DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS, 0),
            new FailureSequence("refused, no answer", 0, DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS));

    @Test
    public void changeIsKnownBeforeTheDeadlineAfterConsecutiveFailures() {
        for (FailureSequence sequence : FAILURE_SEQUENCES) {
            for (int instanceCount : new int[] {1, 6, 30, 100, 1024}) {
                for (int earlierFailures : new int[] {0, 1, 6}) {
                    for (long seed = 0; seed < 40; seed++) {
                        SimulatedInstance instance = new SimulatedInstance(instanceCount, 10 * NANOS_PER_SECOND, seed)
                                .startWatching()
                                .failCalls(earlierFailures);
                        long changedAt = instance.now;
                        for (long detectionNanos : sequence.detectionNanos()) {
                            instance.now += detectionNanos;
                            instance.receive(
                                    detectionNanos == DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS
                                            ? EndpointUpdateKind.TIMED_OUT
                                            : EndpointUpdateKind.FAILED);
                            instance.runUntilNextCall();
                        }
                        long delayNanos = instance.now + ANSWERED_CALL_NANOS - changedAt;
                        assertTrue(
                                sequence.name() + ", " + instanceCount + " nodes, after " + earlierFailures + ": "
                                        + delayNanos / 1_000_000 + " ms",
                                delayNanos <= NOTIFICATION_DEADLINE_NANOS);
                    }
                }
            }
        }
    }
}
