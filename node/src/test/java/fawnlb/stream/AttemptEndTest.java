package fawnlb.stream;

import static fawnlb.stream.StreamHarness.ONE_EVENT;
import static org.junit.Assert.assertEquals;

import fawnlb.decision.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class AttemptEndTest {
    /** An end that strikes at a progress, with the label and the outcome that it must have. */
    private record Case(EndReason reason, ResponseProgress progress, String label, AttemptOutcome outcome) {}

    private static final List<Case> CASES = List.of(
            new Case(
                    EndReason.CONNECTION_LOST,
                    ResponseProgress.BEFORE_HEAD,
                    "broken-before-head",
                    AttemptOutcome.RESET),
            new Case(
                    EndReason.CONNECTION_LOST,
                    ResponseProgress.BEFORE_FIRST_EVENT,
                    "broken-before-event",
                    AttemptOutcome.RESET),
            new Case(
                    EndReason.CONNECTION_LOST,
                    ResponseProgress.AFTER_FIRST_EVENT,
                    "broken-midway",
                    AttemptOutcome.RESET),
            new Case(EndReason.MALFORMED, ResponseProgress.BEFORE_HEAD, "unreadable-before-head", AttemptOutcome.RESET),
            new Case(
                    EndReason.MALFORMED, ResponseProgress.AFTER_FIRST_EVENT, "unreadable-midway", AttemptOutcome.RESET),
            new Case(
                    EndReason.TRUNCATED,
                    ResponseProgress.BEFORE_FIRST_EVENT,
                    "cut-short-before-event",
                    AttemptOutcome.RESET),
            new Case(EndReason.TRUNCATED, ResponseProgress.AFTER_FIRST_EVENT, "cut-short-midway", AttemptOutcome.RESET),
            new Case(EndReason.STALLED, ResponseProgress.BEFORE_HEAD, "stalled-before-head", AttemptOutcome.STALLED),
            new Case(EndReason.STALLED, ResponseProgress.AFTER_FIRST_EVENT, "stalled-midway", AttemptOutcome.STALLED),
            new Case(EndReason.TIMED_OUT, ResponseProgress.BEFORE_HEAD, "out-of-time", AttemptOutcome.TIMEOUT),
            new Case(
                    EndReason.CLIENT_DISCONNECTED,
                    ResponseProgress.AFTER_FIRST_EVENT,
                    "reader-left",
                    AttemptOutcome.CANCELLED),
            new Case(
                    EndReason.CONNECT_FAILED,
                    ResponseProgress.BEFORE_HEAD,
                    "not-connected",
                    AttemptOutcome.CONNECT_FAILED));

    private final StreamHarness harness = new StreamHarness();

    @Test
    public void everyEndHasDistinctLabel() {
        List<String> labels = new ArrayList<>();
        long expected = 0;
        for (EndReason reason : EndReason.values()) {
            for (ResponseProgress progress : ResponseProgress.values()) {
                labels.add(new AttemptEnd(reason, progress).label());
            }
            expected += reason.dependsOnProgress() ? ResponseProgress.values().length : 1;
        }

        assertEquals(expected, labels.stream().distinct().count());
    }

    @Test
    public void labelNamesReasonAndProgress() {
        for (Case expected : CASES) {
            ResponseStream stream = openStreamAt(expected.progress());

            stream.onBackendEnded(expected.reason());
            stream.close();

            assertEquals(expected.label(), stream.attemptEnd().label());
            assertEquals(expected.outcome(), stream.attemptEnd().outcome());
            assertEquals(StreamState.CLOSED, stream.state());
        }
        assertEquals(0, harness.registry.openStreams());
        assertEquals(0, harness.registry.bufferedBytes());
        assertEquals(CASES.size(), countEnds());
    }

    private ResponseStream openStreamAt(ResponseProgress progress) {
        ResponseStream stream = harness.openStream(1);
        if (progress != ResponseProgress.BEFORE_HEAD) {
            stream.onHead(harness.nowNanos, true);
        }
        if (progress == ResponseProgress.AFTER_FIRST_EVENT) {
            stream.onChunk(harness.nowNanos, 5, ONE_EVENT);
        }
        return stream;
    }

    private long countEnds() {
        return harness.registry.statistics().get(0).endsByLabel().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }
}
