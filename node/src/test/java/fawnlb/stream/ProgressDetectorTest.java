package fawnlb.stream;

import static fawnlb.stream.StreamHarness.MILLISECOND_NANOS;
import static fawnlb.stream.StreamHarness.ONE_EVENT;
import static fawnlb.stream.StreamHarness.SECOND_NANOS;
import static fawnlb.stream.StreamHarness.wakeUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import java.util.List;
import org.junit.Test;

/** Which bytes of a backend keep a client waiting, and for how long. All times are counted from the last event. */
public class ProgressDetectorTest {
    /** What an event has to be followed by within the client's five seconds. */
    private static final long MAX_WAIT_NANOS = 5 * SECOND_NANOS;

    private final StreamHarness harness = new StreamHarness(StreamTimeouts.defaults());
    private final ResponseStream stream = harness.openStreamingStream(1);
    private final long startNanos = harness.nowNanos;

    /** Reports one read of the backend. */
    @FunctionalInterface
    private interface Read {
        void report(long nowNanos, int number);
    }

    /** Lets the backend send in this rhythm, and returns after which time the stream was ended; the duration if not. */
    private long endAfterMillis(long periodMillis, long durationMillis, Read read) {
        long periodNanos = periodMillis * MILLISECOND_NANOS;
        long atNanos = startNanos;
        for (int number = 1; atNanos - startNanos < durationMillis * MILLISECOND_NANOS; number++) {
            long nextNanos = atNanos + periodNanos;
            for (long wakeAt = stream.wakeAtNanos(); wakeAt <= nextNanos; wakeAt = stream.wakeAtNanos()) {
                stream.wake(wakeAt);
                if (!harness.endReasons.isEmpty()) {
                    return (wakeAt - startNanos) / MILLISECOND_NANOS;
                }
            }
            atNanos = nextNanos;
            read.report(atNanos, number);
        }
        return durationMillis;
    }

    private void reportPartialEvent(long nowNanos, int bytes) {
        stream.onChunk(nowNanos, 1, new EventProgress(0, 80, bytes, false));
        stream.onClientCaughtUp(nowNanos);
    }

    /** Events that are left out, since their names are not known where the answer is translated. */
    private void reportSkippedEvent(long nowNanos) {
        stream.onPartialData(nowNanos, ONE_EVENT);
    }

    private void assertEndsInTime(long endMillis) {
        assertTrue(endMillis + " ms", endMillis * MILLISECOND_NANOS < MAX_WAIT_NANOS);
        assertEquals(List.of(EndReason.NO_PROGRESS), harness.endReasons);
    }

    @Test
    public void bytesBesideEventsDoNotProlongTheWait() {
        assertEndsInTime(endAfterMillis(100, 30_000, (now, number) -> {
            stream.onChunk(now, 1, EventProgress.NONE);
            stream.onClientCaughtUp(now);
        }));
        assertEquals("no-progress-midway", stream.attemptEnd().label());
    }

    @Test
    public void framingThatIsNotWellFormedDoesNotProlongTheWait() {
        assertEndsInTime(endAfterMillis(100, 30_000, (now, number) -> stream.onFraming(now, 0)));
    }

    @Test
    public void sizeLineThatIsWrittenSlowlyIsProgress() {
        assertEquals(6000, endAfterMillis(1000, 6000, (now, number) -> stream.onFraming(now, 1)));
    }

    /** Its bytes come one by one, and further apart than those of a message that is being written. */
    @Test
    public void sizeLineOfOneByteEachTwoSecondsDoesNotProlongTheWait() {
        assertEndsInTime(endAfterMillis(1900, 30_000, (now, number) -> stream.onFraming(now, number <= 2 ? 1 : 0)));
    }

    /** A backend that writes an empty chunk's framing again and again sends no event either. */
    @Test
    public void endlessWellFormedFramingIsBounded() {
        assertTrue(endAfterMillis(250, 60_000, (now, number) -> stream.onFraming(now, 1)) < 6000);
    }

    @Test
    public void eventWrittenSlowlyIsProgress() {
        assertEquals(15_000, endAfterMillis(100, 15_000, (now, number) -> reportPartialEvent(now, number)));
        stream.onChunk(startNanos + 15 * SECOND_NANOS, 1, ONE_EVENT);
        assertEquals(StreamState.STREAMING, stream.state());
    }

    @Test
    public void eventWrittenInPartsNinehundredMillisecondsApartIsProgress() {
        assertEquals(15_000, endAfterMillis(900, 15_000, (now, number) -> reportPartialEvent(now, number * 10)));
    }

    @Test
    public void eventBelowTheSlowestPaceDoesNotProlongTheWait() {
        assertEndsInTime(endAfterMillis(300, 30_000, (now, number) -> reportPartialEvent(now, 40 + number)));
    }

    @Test
    public void eventLargerThanTheAnswersOthersDoesNotProlongTheWait() {
        assertEndsInTime(endAfterMillis(500, 30_000, (now, number) -> reportPartialEvent(now, number * 80)));
    }

    /** It can't be distinguished from one that ends in time; the bound on its duration holds. */
    @Test
    public void endlessEventAtAnAllowedPaceIsBounded() {
        long endMillis = endAfterMillis(100, 60_000, (now, number) -> reportPartialEvent(now, number));

        assertEquals(20_000, endMillis);
        assertEquals(List.of(EndReason.NO_PROGRESS), harness.endReasons);
    }

    /** Guards against streams that are cut while events come that the load balancer does not know (review/8). */
    @Test
    public void skippedEventsAreProgress() {
        assertEquals(60_000, endAfterMillis(4400, 60_000, (now, number) -> reportSkippedEvent(now)));
        assertEquals(List.of(), harness.endReasons);
    }

    /** A backend that stops in the middle of an event is silent; the client does not wait for longer because of it. */
    @Test
    public void silenceAfterPartOfAnEventEndsTheStreamAsAnyOther() {
        reportPartialEvent(startNanos + SECOND_NANOS, 20);

        assertTrue(wakeUntil(stream, startNanos + MAX_WAIT_NANOS) >= startNanos + MAX_WAIT_NANOS);
        assertEquals(List.of(EndReason.STALLED), harness.endReasons);
    }

    @Test
    public void nothingIsProgressBehindTheLastEvent() {
        stream.onChunk(startNanos, 1, new EventProgress(1, 80, 0, true));
        stream.onClientCaughtUp(startNanos);

        assertEndsInTime(endAfterMillis(100, 30_000, (now, number) -> {
            stream.onChunk(now, 1, new EventProgress(0, 80, number, true));
            stream.onClientCaughtUp(now);
        }));
    }

    /** The wait counts while the backend is waited for, and not while the client has yet to read. */
    @Test
    public void timeInWhichTheClientReadsDoesNotCount() {
        long readNanos = startNanos + 10 * SECOND_NANOS;
        stream.onChunk(startNanos, 100, EventProgress.NONE);
        stream.onClientBackpressure(startNanos, 50);
        stream.onClientCaughtUp(readNanos);

        assertTrue(wakeUntil(stream, readNanos + 4 * SECOND_NANOS) > readNanos + 4 * SECOND_NANOS);
        assertEquals(List.of(), harness.endReasons);
        wakeUntil(stream, readNanos + MAX_WAIT_NANOS);
        assertEquals(1, harness.endReasons.size());
    }

    /** A client that reads slowly is kept by its own pace, and would be kept for ever by comments that come quickly. */
    @Test
    public void relayedBytesWithoutAnEventAreLimitedForSlowClients() {
        long atNanos = startNanos;
        for (int chunk = 0; chunk < 16; chunk++) {
            assertEquals(List.of(), harness.endReasons);
            stream.onChunk(atNanos, 16 * 1024, EventProgress.NONE);
            stream.onClientBackpressure(atNanos, 1024);
            atNanos += SECOND_NANOS;
            stream.onClientCaughtUp(atNanos);
            stream.wake(atNanos);
        }
        stream.onChunk(atNanos, 1, EventProgress.NONE);
        stream.onClientCaughtUp(atNanos);

        assertTrue(stream.wakeAtNanos() <= atNanos);
    }

    @Test
    public void answerThatIsNotAStreamOfEventsHasNoWaitForEvents() {
        ResponseStream whole = harness.open(
                new StreamParameters(EndpointId.ofNumber(1), 0, startNanos + 90 * SECOND_NANOS, false, false));
        whole.onHead(startNanos, true);
        for (int second = 1; second < 30; second++) {
            whole.onPartialData(startNanos + second * SECOND_NANOS, EventProgress.NONE);
            wakeUntil(whole, startNanos + (second + 1) * SECOND_NANOS);
        }
        assertEquals(List.of(), harness.endReasons);
    }
}
