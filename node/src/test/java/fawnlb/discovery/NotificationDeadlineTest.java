package fawnlb.discovery;

import static fawnlb.discovery.DiscoveryTimeouts.CONNECT_TIMEOUT_NANOS;
import static fawnlb.discovery.DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS;
import static fawnlb.discovery.DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.membership.SubscriptionSchedule;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.Test;

/**
 * An instance must know of a change 6 s after discovery has it and can be reached, whatever has failed before. Each way
 * to learn of it late is played at its worst: with the backoff that the load balancer draws, on one clock.
 */
public class NotificationDeadlineTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLISECOND;
    /** How long the call takes that is answered in the end. */
    private static final long ANSWERED_CALL_NANOS = NANOS_PER_SECOND / 2;

    private static final int SEEDS = 40;

    /** A way to learn of a failure, and how long after the change the instance knows of it at the latest. */
    private record DetectionPath(String name, long detectionNanos) {}

    private static final List<DetectionPath> DETECTION_PATHS = List.of(
            new DetectionPath("a watch that fell silent with the change", WATCH_SILENCE_TIMEOUT_NANOS),
            new DetectionPath("a watch that was reset with the change", 0),
            new DetectionPath("a call that was refused just before", 0),
            new DetectionPath("a call whose connection never came up", CONNECT_TIMEOUT_NANOS),
            new DetectionPath("a call that was never answered", RESPONSE_TIMEOUT_NANOS));

    /**
     * Calls that fail one after another although discovery can be reached, with the time that each takes to fail. What
     * fails first takes the longest to be noticed.
     */
    private record FailureSequence(String name, long... detectionNanos) {}

    private static final List<FailureSequence> FAILURE_SEQUENCES = List.of(
            new FailureSequence("silent, refused", WATCH_SILENCE_TIMEOUT_NANOS, 0),
            new FailureSequence("silent, refused, refused", WATCH_SILENCE_TIMEOUT_NANOS, 0, 0),
            new FailureSequence("reset, refused, refused", 0, 0, 0),
            new FailureSequence("refused, refused, refused", 0, 0, 0),
            new FailureSequence("no connection, refused, refused", CONNECT_TIMEOUT_NANOS, 0, 0),
            new FailureSequence("refused, no connection, refused", 0, CONNECT_TIMEOUT_NANOS, 0),
            new FailureSequence("no answer, no answer", RESPONSE_TIMEOUT_NANOS, RESPONSE_TIMEOUT_NANOS),
            new FailureSequence("no answer, refused", RESPONSE_TIMEOUT_NANOS, 0),
            new FailureSequence("refused, no answer", 0, RESPONSE_TIMEOUT_NANOS));

    /** What an instance has gone through before the change. */
    private record History(int instanceCount, long pollDeadlineNanos, int earlierFailures) {
        SimulatedInstance play(long seed) {
            return new SimulatedInstance(instanceCount, pollDeadlineNanos, seed)
                    .startWatching()
                    .failCalls(earlierFailures);
        }
    }

    /** Plays the history with each seed, and checks when the endpoint list is known after what follows it. */
    private static void assertKnownInTime(String name, History history, LongFunction<Long> delayNanosOfSeed) {
        for (long seed = 0; seed < SEEDS; seed++) {
            long delayNanos = delayNanosOfSeed.apply(seed);
            assertTrue(
                    name + ", " + history + ", seed " + seed + ": " + delayNanos / NANOS_PER_MILLISECOND + " ms",
                    delayNanos <= SubscriptionSchedule.NOTIFICATION_DEADLINE_NANOS);
        }
    }

    @Test
    public void changeIsKnownBeforeTheDeadlineAfterAnyEarlierFailures() {
        for (int instanceCount : new int[] {1, 6, 30, 100}) {
            for (long pollDeadlineSeconds : new long[] {4, 10, 60}) {
                for (int earlierFailures = 0; earlierFailures < 7; earlierFailures++) {
                    History history =
                            new History(instanceCount, pollDeadlineSeconds * NANOS_PER_SECOND, earlierFailures);
                    DETECTION_PATHS.forEach(path -> assertKnownInTime(
                            path.name(), history, seed -> delayNanosAfterFailure(history.play(seed), path)));
                }
            }
        }
    }

    private static long delayNanosAfterFailure(SimulatedInstance instance, DetectionPath path) {
        long changedAt = instance.now();
        instance.advance(path.detectionNanos());
        instance.receive(EndpointUpdateKind.FAILED);
        return instance.runUntilNextCall() + ANSWERED_CALL_NANOS - changedAt;
    }

    @Test
    public void changeIsKnownBeforeTheDeadlineAfterConsecutiveFailures() {
        for (int instanceCount : new int[] {1, 6, 30, 100, 1024}) {
            for (int earlierFailures : new int[] {0, 1, 6}) {
                History history = new History(instanceCount, 10 * NANOS_PER_SECOND, earlierFailures);
                FAILURE_SEQUENCES.forEach(sequence -> assertKnownInTime(
                        sequence.name(), history, seed -> delayNanosAfterFailures(history.play(seed), sequence)));
            }
        }
    }

    private static long delayNanosAfterFailures(SimulatedInstance instance, FailureSequence sequence) {
        long changedAt = instance.now();
        for (long detectionNanos : sequence.detectionNanos()) {
            boolean timedOut = detectionNanos == RESPONSE_TIMEOUT_NANOS;
            instance.advance(detectionNanos);
            instance.receive(timedOut ? EndpointUpdateKind.TIMED_OUT : EndpointUpdateKind.FAILED);
            instance.runUntilNextCall();
        }
        return instance.now() + ANSWERED_CALL_NANOS - changedAt;
    }
}
