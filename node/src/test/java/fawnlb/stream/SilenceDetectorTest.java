package fawnlb.stream;

import static fawnlb.stream.StreamHarness.MILLISECOND_NANOS;
import static fawnlb.stream.StreamHarness.ONE_EVENT;
import static fawnlb.stream.StreamHarness.SECOND_NANOS;
import static fawnlb.stream.StreamHarness.relayChunk;
import static fawnlb.stream.StreamHarness.spread;
import static fawnlb.stream.StreamHarness.wakeUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.Test;

/** Silences of backends: which of them end a stream, and when. */
public class SilenceDetectorTest {
    private static final long MAX_SILENCE_NANOS = 4500 * MILLISECOND_NANOS;
    /** The longest silence of a backend with 60 ms between events: a pause of 3 s and the gap in which it falls. */
    private static final long STEADY_SILENCE_NANOS = 3300 * MILLISECOND_NANOS;

    private final StreamHarness harness = new StreamHarness();
    private final long startNanos = harness.nowNanos;

    // ---- Between events ------------------------------------------------------------------------------------

    @Test
    public void steadyBackendHasShorterSilenceTimeoutThanUnknownOne() {
        ResponseStream unknown = harness.openStreamingStream(1);
        assertEquals(startNanos + MAX_SILENCE_NANOS, wakeUntil(unknown, startNanos + MAX_SILENCE_NANOS));
        harness.trainBackend(1, 60, 300, new Random(1));
        ResponseStream steady = harness.openStreamingStream(1);

        wakeUntil(steady, startNanos + 3 * SECOND_NANOS);
        assertEquals(StreamState.STALLED, steady.state());
        assertEquals(List.of(), harness.endReasons);

        wakeUntil(steady, startNanos + STEADY_SILENCE_NANOS);
        assertEquals(List.of(EndReason.STALLED), harness.endReasons);
    }

    @Test
    public void backendWithLongGapsGetsMaximumTimeout() {
        harness.trainBackend(1, 1000, 3000, new Random(1));
        ResponseStream stream = harness.openStreamingStream(1);

        assertEquals(startNanos + MAX_SILENCE_NANOS, wakeUntil(stream, startNanos + MAX_SILENCE_NANOS));
        assertEquals(List.of(), harness.endReasons);
    }

    @Test
    public void threeSecondPauseDoesNotEndStream() {
        harness.trainBackend(1, 60, 300, new Random(1));
        ResponseStream stream = harness.openStreamingStream(1);
        wakeUntil(stream, startNanos + 3 * SECOND_NANOS);

        long resumedAtNanos = startNanos + 3 * SECOND_NANOS - 1;
        relayChunk(stream, resumedAtNanos, 10);
        assertEquals(StreamState.STREAMING, stream.state());

        wakeUntil(stream, resumedAtNanos + 3 * SECOND_NANOS);
        assertEquals(List.of(), harness.endReasons);
    }

    /**
     * Guards against streams that are cut off although their events still come: with the defaults, a silence within the
     * 5 s that a client may wait ended the stream 3 s and a gap after its last event.
     */
    @Test
    public void backendThatHangsForFourSecondsKeepsItsStreamsByDefault() {
        StreamHarness byDefault = new StreamHarness(StreamTimeouts.defaults());
        byDefault.trainBackend(1, 250, 300, new Random(1));
        ResponseStream stream = byDefault.openStreamingStream(1);
        long resumedAtNanos = startNanos + 4250 * MILLISECOND_NANOS;

        wakeUntil(stream, resumedAtNanos);
        assertEquals(List.of(), byDefault.endReasons);
        assertEquals(StreamState.STALLED, stream.state());

        relayChunk(stream, resumedAtNanos, 10);
        assertEquals(StreamState.STREAMING, stream.state());
        wakeUntil(stream, resumedAtNanos + 5 * SECOND_NANOS);
        assertEquals("a client waits less than 5 s", List.of(EndReason.STALLED), byDefault.endReasons);
    }

    @Test
    public void silenceCommonToMostBackendsGetsMaximumTimeout() {
        harness.trainSteadyBackends(5);

        assertEndOnlyAtMaximum(openStreamingStreams(5));
    }

    /** Lets all streams be silent together: none ends before the maximum, and each ends at it. */
    private void assertEndOnlyAtMaximum(List<ResponseStream> streams) {
        for (long at = startNanos; at < startNanos + MAX_SILENCE_NANOS; at += 10 * MILLISECOND_NANOS) {
            for (ResponseStream stream : streams) {
                wakeUntil(stream, at);
            }
        }
        assertEquals(List.of(), harness.endReasons);

        streams.forEach(stream -> stream.wake(startNanos + MAX_SILENCE_NANOS));
        assertEquals(streams.size(), harness.endReasons.size());
    }

    @Test
    public void silenceOfTwoBackendsOfFiveIsNotCommon() {
        harness.trainSteadyBackends(5);

        silenceTwoBackendsOfFive();

        assertEquals(List.of(EndReason.STALLED, EndReason.STALLED), harness.endReasons);
    }

    @Test
    public void endedStreamsDoNotCountAsSilent() {
        harness.trainSteadyBackends(5);
        List<ResponseStream> streams = openStreamingStreams(5);
        assertEndOnlyAtMaximum(streams);
        streams.forEach(stream -> stream.onBackendEnded(EndReason.STALLED));
        streams.forEach(ResponseStream::close);
        harness.endReasons.clear();

        silenceTwoBackendsOfFive();

        assertEquals(List.of(EndReason.STALLED, EndReason.STALLED), harness.endReasons);
    }

    /** Opens a stream on each of five backends, of which the first two are silent for longer than they may be alone. */
    private void silenceTwoBackendsOfFive() {
        for (int backend = 0; backend < 5; backend++) {
            ResponseStream stream = harness.openStreamingStream(backend);
            if (backend < 2) {
                wakeUntil(stream, startNanos + STEADY_SILENCE_NANOS);
            }
        }
    }

    /** One site of two is cut off: its streams end as soon as one alone would, and those of the other site go on. */
    @Test
    public void siteOutageEndsOnlyStreamsOfThatSite() {
        harness.trainSteadyBackends(14);
        List<ResponseStream> cutOff = new ArrayList<>();
        List<ResponseStream> others = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            cutOff.add(harness.openStreamingStream(i % 7));
            others.add(harness.openStreamingStream(7 + i % 7));
        }

        for (long at = startNanos; at <= startNanos + STEADY_SILENCE_NANOS; at += 50 * MILLISECOND_NANOS) {
            for (ResponseStream stream : others) {
                relayChunk(stream, at, 1);
            }
            for (ResponseStream stream : cutOff) {
                wakeUntil(stream, at + 1);
            }
        }

        assertEquals(60, harness.endReasons.size());
        assertTrue(others.stream().allMatch(stream -> stream.state() == StreamState.STREAMING));
    }

    /** In 50,000 streams with heavy tails, of backends up to nine times slower than others, none is ended. */
    @Test
    public void activeStreamsWithHeavyTailedGapsAreNeverEnded() {
        StreamHarness fleet = new StreamHarness(new StreamTimeouts(
                true,
                5,
                200 * MILLISECOND_NANOS,
                MAX_SILENCE_NANOS,
                100 * MILLISECOND_NANOS,
                0.6,
                20 * SECOND_NANOS,
                1 << 20));
        Random random = new Random(7);
        int ended = 0;
        for (int i = 0; i < 50_000; i++) {
            int backend = random.nextInt(14);
            double slowness = backend < 3 ? 3 * (backend + 1) : 1;
            ended += playHeavyTailedStream(fleet, backend, slowness, random) ? 0 : 1;
            fleet.nowNanos += MILLISECOND_NANOS;
        }

        assertEquals(0, ended);
        List<StreamStatistics> statistics = fleet.registry.statistics();
        assertTrue(
                "steady backends must still be held to less than the maximum: "
                        + statistics.stream()
                                .map(one -> one.allowedGapNanos() / MILLISECOND_NANOS)
                                .collect(Collectors.toList()),
                statistics.get(13).allowedGapNanos() < MAX_SILENCE_NANOS);
    }

    /** Plays a stream of 21 events, and returns whether it was left to its end. */
    private static boolean playHeavyTailedStream(StreamHarness fleet, int backend, double slowness, Random random) {
        ResponseStream stream = fleet.openLastAttemptsStream(backend);
        long atNanos = fleet.nowNanos + spread(200 * MILLISECOND_NANOS * slowness, 0.5, random);
        stream.onHead(atNanos, true);
        relayChunk(stream, atNanos, 1);
        boolean leftAlone = true;
        for (int event = 0; event < 20 && leftAlone && stream.attemptEnd() == null; event++) {
            atNanos += spread(20 * MILLISECOND_NANOS * slowness, 0.5, random);
            int endsBefore = fleet.endReasons.size();
            wakeUntil(stream, atNanos);
            leftAlone = fleet.endReasons.size() == endsBefore;
            if (leftAlone) {
                relayChunk(stream, atNanos, 1);
            }
        }
        stream.onResponseComplete(EndReason.COMPLETED);
        stream.close();
        return leftAlone;
    }

    private List<ResponseStream> openStreamingStreams(int backends) {
        List<ResponseStream> streams = new ArrayList<>();
        for (int backend = 0; backend < backends; backend++) {
            streams.add(harness.openStreamingStream(backend));
        }
        return streams;
    }

    // ---- Before the first event ----------------------------------------------------------------------------

    @Test
    public void firstEventTimesOutEarlyWhenRetryIsPossible() {
        harness.trainSteadyBackends(5);
        ResponseStream stream = harness.openStream(1);

        wakeUntil(stream, startNanos + 8 * SECOND_NANOS);
        assertEquals(List.of(EndReason.STALLED), harness.endReasons);

        stream.onBackendEnded(EndReason.STALLED);
        assertEquals("stalled-before-head", stream.attemptEnd().label());
        assertEquals(StreamState.CLOSED, stream.state());
    }

    @Test
    public void firstEventIsAwaitedToTheDeadlineWhenNoRetryIsPossible() {
        harness.trainSteadyBackends(5);
        ResponseStream stream = harness.openLastAttemptsStream(2);

        wakeUntil(stream, startNanos + 8 * SECOND_NANOS);

        assertEquals(List.of(), harness.endReasons);
        assertNull(stream.attemptEnd());
    }

    @Test
    public void firstEventIsAwaitedToTheDeadlineWhenNoTimeIsLeftForRetry() {
        harness.trainSteadyBackends(5);
        ResponseStream stream = harness.open(new StreamParameters(
                EndpointId.ofNumber(3), StreamHarness.PROMPT_TOKENS, startNanos + SECOND_NANOS, true, true));

        wakeUntil(stream, startNanos + SECOND_NANOS);

        assertEquals(List.of(), harness.endReasons);
    }

    /** Once, a sound stream was ended because its first event was still arriving at the timeout. */
    @Test
    public void partialFirstEventKeepsStreamAliveWhileDataArrives() {
        harness.trainSteadyBackends(5);
        ResponseStream silent = harness.openStream(1);
        long timeoutAtNanos = silent.wakeAtNanos();
        wakeUntil(silent, startNanos + 8 * SECOND_NANOS);
        assertEquals(List.of(EndReason.STALLED), harness.endReasons);
        harness.endReasons.clear();

        ResponseStream arriving = harness.openStream(1);
        long at = startNanos + 200 * MILLISECOND_NANOS;
        arriving.onHead(at, true);
        int partialBytes = 0;
        for (; at < 2 * timeoutAtNanos - startNanos; at += 50 * MILLISECOND_NANOS) {
            partialBytes++;
            arriving.onPartialData(at, new EventProgress(0, 0, partialBytes, false));
            arriving.setBufferedBytes(5);
            wakeUntil(arriving, at + 50 * MILLISECOND_NANOS);
        }
        assertEquals(List.of(), harness.endReasons);

        assertTrue(wakeUntil(arriving, at + 8 * SECOND_NANOS) >= at + 8 * SECOND_NANOS);
        assertEquals("a silence ends it all the same", List.of(EndReason.STALLED), harness.endReasons);
    }

    /** Guards against a second attempt while the first one's backend sends events that the client does not get. */
    @Test
    public void skippedEventsBeforeTheFirstOneAreNoSilence() {
        harness.trainSteadyBackends(5);
        ResponseStream stream = harness.openStream(1);
        long usualWaitNanos = stream.wakeAtNanos() - startNanos;
        long at = startNanos + 200 * MILLISECOND_NANOS;
        stream.onHead(at, true);
        for (; at < startNanos + 3 * usualWaitNanos; at += 300 * MILLISECOND_NANOS) {
            stream.onPartialData(at, StreamHarness.ONE_EVENT);
            wakeUntil(stream, at + 300 * MILLISECOND_NANOS);
        }
        assertEquals(List.of(), harness.endReasons);

        wakeUntil(stream, at + 5 * SECOND_NANOS);
        assertEquals("a silence ends it all the same", List.of(EndReason.STALLED), harness.endReasons);
    }

    /** An instance of a large fleet meets most prompt lengths for the first time, and knows no usual wait for them. */
    @Test
    public void promptOfUnknownLengthHasNoFirstEventTimeout() {
        for (double promptTokens : new double[] {1, 300, 2100, 30_000}) {
            StreamHarness untrained = new StreamHarness();
            StreamHarness trained = new StreamHarness();
            trained.trainBackend(1, 40, 100, new Random(5));
            for (StreamHarness either : List.of(untrained, trained)) {
                ResponseStream stream = either.open(new StreamParameters(
                        EndpointId.ofNumber(1), promptTokens, startNanos + 8 * SECOND_NANOS, true, true));

                assertEquals("tokens: " + promptTokens, ResponseStream.NEVER, stream.wakeAtNanos());
            }
        }
    }

    /** Waits that were ended count as at least as long; the timeout would otherwise shrink with every one of them. */
    @Test
    public void firstEventTimeoutAdaptsToFleetSlowdown() {
        Random random = new Random(5);
        for (int backend = 0; backend < 5; backend++) {
            harness.trainBackend(backend, 60, 300, random);
        }
        int endedAfterAdaptation = 0;
        for (int i = 0; i < 400; i++) {
            boolean answered = playSlowFirstEvent(i % 5, random);
            endedAfterAdaptation += i >= 100 && !answered ? 1 : 0;
            harness.nowNanos += 10 * MILLISECOND_NANOS;
        }

        assertEquals("ended after the first hundred", 0, endedAfterAdaptation);
    }

    /** Plays a stream with a first event after about 1.5 s, and returns whether it was waited for. */
    private boolean playSlowFirstEvent(int backend, Random random) {
        ResponseStream stream = harness.openStream(backend);
        long arrivesAtNanos = harness.nowNanos + spread(1500 * MILLISECOND_NANOS, 0.2, random);
        int endsBefore = harness.endReasons.size();
        wakeUntil(stream, arrivesAtNanos);
        if (harness.endReasons.size() > endsBefore) {
            stream.onBackendEnded(EndReason.STALLED);
            return false;
        }
        stream.onHead(arrivesAtNanos, true);
        stream.onChunk(arrivesAtNanos, 1, ONE_EVENT);
        stream.onResponseComplete(EndReason.COMPLETED);
        stream.close();
        return true;
    }

    // ---- Late threads --------------------------------------------------------------------------------------

    /** A thread that was held up finds its timers due before it has read what arrived meanwhile. */
    @Test
    public void lateWakeRechecksBeforeEndingStream() {
        ResponseStream stream = harness.openStreamingStream(1);
        long dueAtNanos = stream.wakeAtNanos();
        assertEquals(startNanos + MAX_SILENCE_NANOS, dueAtNanos);

        stream.wake(dueAtNanos + SECOND_NANOS);
        assertEquals(List.of(), harness.endReasons);
        assertTrue(stream.wakeAtNanos() > dueAtNanos + SECOND_NANOS);

        relayChunk(stream, dueAtNanos + SECOND_NANOS, 10);
        assertEquals(StreamState.STREAMING, stream.state());
    }
}
