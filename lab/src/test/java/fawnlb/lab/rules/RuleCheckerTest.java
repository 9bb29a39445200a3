package fawnlb.lab.rules;

import static org.junit.Assert.assertEquals;

import java.util.Set;
import java.util.function.Consumer;
import org.junit.Test;

/** Each rule is violated once, and kept by the smallest possible margin. */
public class RuleCheckerTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static Set<Rule> violationsAfter(Consumer<RuleChecker> events) {
        RuleChecker rules = new RuleChecker(6, 750 * NANOS_PER_MILLI);
        rules.onRequestSent(0, "r", "n0");
        events.accept(rules);
        return rules.violations().keySet();
    }

    @Test
    public void completedRequestViolatesNoRule() {
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptCompleted(NANOS_PER_MILLI, "r", "a", 7);
            rules.onResponseServed("r", 7);
        }));
    }

    @Test
    public void duplicateOrMissingResponseIsAViolation() {
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> {
            rules.onErrorResponse("r");
            rules.onErrorResponse("r");
        }));
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> rules.onConnectionLost("r")));
    }

    @Test
    public void requestThatCameLateInAShutdownIsOwedItsAnswerWhenTheNodeIsKilled() {
        for (long sentMillis : new long[] {700, 701}) {
            Consumer<RuleChecker> shutdown = rules -> {
                rules.onShutdownStarted(0, "n0");
                rules.onRequestSent(sentMillis * NANOS_PER_MILLI, "r", "n0");
                rules.onKilledAtShutdown("n0");
            };
            Set<Rule> expected = sentMillis > 700 ? Set.of(Rule.EXACTLY_ONE_RESPONSE) : Set.of();
            assertEquals(expected, violationsAfter(shutdown.andThen(rules -> rules.onConnectionLost("r"))));
            assertEquals(
                    expected,
                    violationsAfter(
                            shutdown.andThen(rules -> rules.onStreamBroken(sentMillis * NANOS_PER_MILLI, "r"))));
        }
        assertEquals("without a shutdown", Set.of(), violationsAfter(rules -> rules.onStreamBroken(0, "r")));
    }

    @Test
    public void clientThatWaitsTooLongWithoutEventsIsAViolation() {
        for (long endMillis : new long[] {5049, 5051}) {
            Set<Rule> expected = endMillis > 5050 ? Set.of(Rule.NO_WAIT_WITHOUT_PROGRESS) : Set.of();
            assertEquals(expected, violationsAfter(rules -> {
                rules.onProgressEnded(0, "r");
                rules.onStreamBroken(endMillis * NANOS_PER_MILLI, "r");
            }));
        }
    }

    @Test
    public void slowAnswerThatIsCutOffIsAViolationUnlessItsNodeWasKilled() {
        assertEquals(Set.of(Rule.SLOW_ANSWER_NOT_CUT), violationsAfter(rules -> rules.onSlowAnswerCut("r", 0)));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onNodeKilled("n0");
            rules.onSlowAnswerCut("r", 0);
        }));
    }

    @Test
    public void overlappingAttemptsAreAViolation() {
        assertEquals(Set.of(Rule.NO_CONCURRENT_ATTEMPTS), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptCancelled(200 * NANOS_PER_MILLI, "r", "a");
        }));
        // The end of the first attempt is read just after the second has begun.
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptCancelled(2 * NANOS_PER_MILLI, "r", "a");
        }));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> false);
            rules.onAttemptReceived(NANOS_PER_MILLI, "r", "b", () -> true);
            rules.onAttemptCancelled(200 * NANOS_PER_MILLI, "r", "b");
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
            rules.onDeadlineForwarded(100 * NANOS_PER_MILLI, "r", 1051 * NANOS_PER_MILLI);
        }));
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.setDeadline("r", 1000 * NANOS_PER_MILLI);
            rules.onDeadlineForwarded(100 * NANOS_PER_MILLI, "r", 1050 * NANOS_PER_MILLI);
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
        assertEquals("rejected by the first", Set.of(), violationsAfter(rules -> {
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
        assertEquals("a reset with an external reason", Set.of(), violationsAfter(rules -> {
            rules.excuseNode("n0");
            rules.onConnectionLost("r");
        }));
    }

    @Test
    public void attemptsBeyondTheLimitAreAViolation() {
        for (int attempts : new int[] {6, 7}) {
            assertEquals(attempts == 6 ? Set.of() : Set.of(Rule.ATTEMPT_LIMIT), violationsAfter(rules -> {
                for (int i = 0; i < attempts; i++) {
                    rules.onAttemptReceived(i, "r", "a", () -> false);
                    rules.onAttemptCancelled(i, "r", "a");
                }
            }));
        }
    }

    @Test
    public void attemptAfterDrainGracePeriodIsAViolation() {
        assertEquals(Set.of(), violationsOfAttemptAfterDrain("n0", 700));
        assertEquals(Set.of(Rule.NO_ATTEMPT_TO_DRAINING_BACKEND), violationsOfAttemptAfterDrain("n0", 900));
        assertEquals("another node was notified", Set.of(), violationsOfAttemptAfterDrain("n1", 900));
    }

    /** Returns the violations of an attempt of node n0 this time after a node was notified of a drain. */
    private static Set<Rule> violationsOfAttemptAfterDrain(String notifiedNode, long millis) {
        return violationsAfter(rules -> {
            rules.onDrainNotified(0, notifiedNode, "a");
            rules.onAttemptReceived(millis * NANOS_PER_MILLI, "r", "a", () -> true);
        });
    }

    @Test
    public void attemptToBackendThatIsReadyOrUnknownIsNoViolation() {
        assertEquals("ready all the time", Set.of(), violationsAfter(rules -> {
            rules.onReadyNotified("n0", "a");
            rules.onAttemptReceived(900 * NANOS_PER_MILLI, "r", "a", () -> true);
        }));
        assertEquals("ready again, or drained before the node restarted", Set.of(), violationsAfter(rules -> {
            rules.onDrainNotified(0, "n0", "a");
            rules.onReadyNotified("n0", "a");
            rules.onAttemptReceived(900 * NANOS_PER_MILLI, "r", "a", () -> true);
            rules.onDrainNotified(0, "n0", "b");
            rules.onNodeRestarted("n0");
        }));
    }

    @Test
    public void collapsedBackendIsAViolation() {
        assertEquals(Set.of(Rule.NO_OVERLOAD_IN_SLOW_START), violationsAfter(rules -> rules.onBackendCollapsed("a")));
    }

    @Test
    public void unknownResponseOrRequestIsAViolation() {
        assertEquals(Set.of(Rule.RESPONSE_MATCHES_BACKEND), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptCompleted(NANOS_PER_MILLI, "r", "a", 7);
            rules.onResponseServed("r", 8);
        }));
        assertEquals("truncated by its backend", Set.of(Rule.RESPONSE_MATCHES_BACKEND), violationsAfter(rules -> {
            rules.onAttemptReceived(0, "r", "a", () -> true);
            rules.onAttemptCancelled(NANOS_PER_MILLI, "r", "a");
            rules.onResponseServed("r", 7);
        }));
        assertEquals(
                Set.of(Rule.RESPONSE_MATCHES_BACKEND),
                violationsAfter(rules -> rules.onAttemptReceived(0, "other", "a", () -> true)));
    }

    @Test
    public void nodeIsExcusedUntilAllReasonsForItAreOver() {
        assertEquals(Set.of(), violationsAfter(rules -> {
            rules.excuseNode("n0");
            rules.excuseNode("n0");
            rules.stopExcusingNode("n0");
            rules.onRequestSent(0, "r", "n0");
            rules.onConnectionLost("r");
        }));
        assertEquals(Set.of(Rule.EXACTLY_ONE_RESPONSE), violationsAfter(rules -> {
            rules.excuseNode("n0");
            rules.stopExcusingNode("n0");
            rules.onRequestSent(0, "r", "n0");
            rules.onConnectionLost("r");
        }));
    }
}
