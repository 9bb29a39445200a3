package fawnlb.lab.rules;

import static org.junit.Assert.assertEquals;

import fawnlb.lab.rules.RuleChecker.Rule;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.Test;

/** Each rule is broken on purpose once, and kept as narrowly as may be once. */
public class RuleCheckerTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static Set<Rule> violationsAfter(Consumer<RuleChecker> events) {
        RuleChecker rules = new RuleChecker(6, 750 * NANOS_PER_MILLI);
        rules.onRequestSent("r", "n0");
        events.accept(rules);
        return rules.violations().keySet();
    }

    @Test
    public void completedRequestViolatesNoRule() {
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptEnded(NANOS_PER_MILLI, "r", "a", true, 7);
            rules.onResponseCompleted("r", true, 7);
        }));
    }

    @Test
    public void duplicateOrMissingResponseIsAViolation() {
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> {
            rules.onResponseCompleted("r", false, 0);
            rules.onResponseCompleted("r", false, 0);
        }));
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> rules.onConnectionLost("r")));
    }

    @Test
    public void overlappingAttemptsAreAViolation() {
        assertEquals(Set.of(Rule.NO_CONCURRENT_ATTEMPTS), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptEnded(200 * NANOS_PER_MILLI, "r", "a", false, 0);
        }));
        // The end of the first is read just after the second has come.
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptEnded(2 * NANOS_PER_MILLI, "r", "a", false, 0);
        }));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> false);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptEnded(200 * NANOS_PER_MILLI, "r", "b", false, 0);
        }));
    }

    @Test
    public void missedDeadlineIsAViolationUnlessTheNodeWasKilled() {
        assertEquals(Set.of(Rule.RESPONSE_BY_DEADLINE), violationsAfter(rules -> rules.onDeadlineMissed("r")));
        assertEquals("killed meanwhile", Set.of(), violationsAfter(rules -> {
            rules.onNodeKilled("n0");
            rules.onDeadlineMissed("r");
        }));
    }

    @Test
    public void attemptAfterClientDisconnectIsAViolation() {
        assertEquals(Set.of(Rule.NO_ATTEMPT_AFTER_DISCONNECT), violationsAfter(rules -> {
            rules.onClientDisconnected(0, "r");
            rules.onAttemptReceived(151 * NANOS_PER_MILLI, "r", "a", () -> true);
        }));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onClientDisconnected(0, "r");
            rules.onAttemptReceived(150 * NANOS_PER_MILLI, "r", "a", () -> true);
        }));
    }

    @Test
    public void forwardedDeadlineBeyondTheClientsIsAViolation() {
        assertEquals(Set.of(Rule.FORWARDED_DEADLINE), violationsAfter(rules -> {
            rules.setDeadline("r", 1000 * NANOS_PER_MILLI);
            rules.told(100 * NANOS_PER_MILLI, "r", 1051 * NANOS_PER_MILLI);
        }));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.setDeadline("r", 1000 * NANOS_PER_MILLI);
            rules.told(100 * NANOS_PER_MILLI, "r", 1050 * NANOS_PER_MILLI);
        }));
    }

    @Test
    public void secondRunOfNonIdempotentRequestIsAViolation() {
        assertEquals(Set.of(Rule.NON_IDEMPOTENT_RUNS_ONCE), violationsAfter(rules -> {
            rules.markNonIdempotent("r");
            rules.onAttemptReceived(0, "r", "a", () -> false);
            rules.onExecutionStarted("r");
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> false);
        }));
        assertEquals(Set.of(Rule.NON_IDEMPOTENT_RUNS_ONCE), violationsAfter(rules -> {
            rules.markNonIdempotent("r");
            rules.onExecutionStarted("r");
            rules.onRequestRejected("r");
        }));
        assertEquals("turned away by the first", Set.of(), violationsAfter(rules -> {
            rules.markNonIdempotent("r");
            rules.onAttemptReceived(0, "r", "a", () -> false);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> false);
            rules.onExecutionStarted("r");
        }));
    }

    @Test
    public void closingAConnectionOnAReadRequestIsAViolation() {
        assertEquals(Set.of(), violationsAfter(rules -> rules.onIdleConnectionClosed("r")));
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onIdleConnectionClosed("r");
        }));
        assertEquals("a reset that came from outside", Set.of(), violationsAfter(rules -> {
            rules.setNodeExcused("n0", true);
            rules.onConnectionLost("r");
        }));
    }

    @Test
    public void attemptsBeyondTheLimitAreAViolation() {
        for (int attempts : new int[] {6, 7}) {
            assertEquals(attempts == 6 ? Set.of() : Set.of(Rule.ATTEMPT_LIMIT), violationsAfter(rules -> {
                for (int i = 0; i < attempts; i++) {
                    rules.onAttemptReceived(i, "r", "a", () -> false);
                    rules.onAttemptEnded(i, "r", "a", false, 0);
                }
            }));
        }
    }

    @Test
    public void attemptAfterDrainGracePeriodIsAViolation() {
        Object[][] cases = {
            {700L, "n0", true, false}, {900L, "n0", true, true}, {900L, "n1", true, false}, {900L, "n0", false, false}
        };
        for (Object[] row : cases) {
            assertEquals(
                    (boolean) row[3] ? Set.of(Rule.NO_ATTEMPT_TO_DRAINING_BACKEND) : Set.of(),
                    violationsAfter(rules -> {
                        rules.told(0, (String) row[1], "a", (boolean) row[2]);
                        rules.onAttemptReceived((long) row[0] * NANOS_PER_MILLI, "r", "a", () -> true);
                    }));
        }
        assertEquals(
                "one that is listed again, or told to a node that knows nothing of it",
                Set.of(),
                violationsAfter(rules -> {
                    rules.told(0, "n0", "a", true);
                    rules.told(NANOS_PER_MILLI, "n0", "a", false);
                    rules.onAttemptReceived(900 * NANOS_PER_MILLI, "r", "a", () -> true);
                    rules.told(0, "n0", "b", true);
                    rules.onNodeRestarted("n0");
                }));
    }

    @Test
    public void collapsedBackendIsAViolation() {
        assertEquals(
                Set.of(Rule.NO_OVERLOAD_IN_SLOW_START), violationsAfter(rules -> rules.onBackendCollapsed(0, "a")));
    }

    @Test
    public void unknownResponseOrRequestIsAViolation() {
        assertEquals(Set.of(Rule.RESPONSE_MATCHES_BACKEND), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptEnded(NANOS_PER_MILLI, "r", "a", true, 7);
            rules.onResponseCompleted("r", true, 8);
        }));
        assertEquals("cut off by its box", Set.of(Rule.RESPONSE_MATCHES_BACKEND), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptEnded(NANOS_PER_MILLI, "r", "a", false, 0);
            rules.onResponseCompleted("r", true, 7);
        }));
        assertEquals(
                Set.of(Rule.RESPONSE_MATCHES_BACKEND),
                violationsAfter(rules -> rules.onAttemptReceived(0, "other", "a", () -> true)));
    }
}
