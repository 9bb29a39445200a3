package fawnlb.stream;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.Test;

public class StreamRegistryTest {
    private static final long MILLISECOND_NANOS = 1_000_000;
    private static final long SECOND_NANOS = 1000 * MILLISECOND_NANOS;
    private static final StreamTimeouts TIMEOUTS = new StreamTimeouts(
            true, 5, 3 * SECOND_NANOS, 4500 * MILLISECOND_NANOS, 500 * MILLISECOND_NANOS, 0.6, 20 * SECOND_NANOS, 1000);

    private final StreamRegistry registry = new StreamRegistry(TIMEOUTS);
    private final List<EndReason> endReasons = new ArrayList<>();
    private int clientStalls;
    private final StreamRegistry.Owner owner = new StreamRegistry.Owner() {
        @Override
        public void endStream(EndReason end) {
            endReasons.add(end);
        }

        @Override
        public void onClientStalled() {
            clientStalls++;
        }
    };
    private long nowNanos = SECOND_NANOS;

    private ResponseStream openStream(StreamRegistry registry, long backend, boolean canRetry) {
        return registry.open(
                nowNanos, new StreamParameters(backend, 1000, nowNanos + 8 * SECOND_NANOS, canRetry, true), owner);
    }

    /** A stream that has begun, its first event taken. */
    private ResponseStream openStreamingStream(StreamRegistry registry, long backend) {
        ResponseStream stream = openStream(registry, backend, true);
        stream.onHead(nowNanos, true);
        stream.onChunk(nowNanos, 10);
        stream.onClientCaughtUp(nowNanos);
        return stream;
    }

    /**
     * Teaches it the gaps and waits of many streams: about this many milliseconds, with a spread of a few parts in ten.
     */
    private void trainBaseline(
            StreamRegistry registry, long backend, double medianGapMillis, double medianWaitMillis, Random random) {
        for (int i = 0; i < 40; i++) {
            long begin = nowNanos;
            ResponseStream stream = openStream(registry, backend, true);
            long at = begin + (long) (medianWaitMillis * MILLISECOND_NANOS * Math.exp(0.2 * random.nextGaussian()));
            stream.onHead(at, true);
            stream.onChunk(at, 10);
            stream.onClientCaughtUp(at);
            for (int event = 0; event < 30; event++) {
                at += (long) (medianGapMillis * MILLISECOND_NANOS * Math.exp(0.2 * random.nextGaussian()));
                stream.onChunk(at, 10);
                stream.onClientCaughtUp(at);
            }
            stream.onChunk(at, 1);
            stream.onResponseComplete(EndReason.COMPLETED);
            stream.close();
        }
    }

    /** Wakes it whenever it wants to be, as long as it is before this time. */
    private static long wakeUntil(ResponseStream stream, long end) {
        long at = stream.wakeAtNanos();
        while (at < end) {
            stream.wake(at);
            at = stream.wakeAtNanos();
        }
        return at;
    }

    @Test
    public void documentedTransitionTableMatchesCode() throws IOException {
        String text = Files.readString(Path.of("../docs/design/stalled-and-broken-streams.md"));
        String begin = "| state | what happens | state after |\n| --- | --- | --- |\n";
        String table = text.substring(text.indexOf(begin) + begin.length());
        assertEquals(
                String.join("\n", StreamStateMachine.documentationRows()), table.substring(0, table.indexOf("\n\n")));
    }

    @Test
    public void everyStateIsReachableAndClosesWithClient() {
        for (StreamState state : StreamState.values()) {
            boolean reached = state == StreamState.AWAITING_HEAD;
            boolean closes = state == StreamState.CLOSED
                    || StreamStateMachine.stateAfter(state, StreamEvent.CLIENT_CLOSED) == StreamState.CLOSED;
            for (StreamState from : StreamState.values()) {
                for (StreamEvent signal : StreamEvent.values()) {
                    reached |= from != state && StreamStateMachine.stateAfter(from, signal) == state;
                }
            }
            assertTrue(state + " reached", reached);
            assertTrue(state + " ends when the client is done with it", closes);
        }
    }

    @Test
    public void everyAttemptEndHasDistinctLabel() {
        List<String> words = new ArrayList<>();
        for (EndReason end : EndReason.values()) {
            for (ResponseProgress place : ResponseProgress.values()) {
                words.add(new AttemptEnd(end, place).label());
            }
        }
        long expected = 0;
        for (EndReason end : EndReason.values()) {
            expected += end.dependsOnProgress() ? ResponseProgress.values().length : 1;
        }
        assertEquals(expected, words.stream().distinct().count());
    }

    /** What strikes where, the name of the end, and what the decision module hears. */
    @Test
    public void attemptEndLabelNamesReasonAndProgress() {
        Object[][] table = {
            {EndReason.CONNECTION_LOST, 0, "broken-before-head", AttemptOutcome.RESET},
            {EndReason.CONNECTION_LOST, 1, "broken-before-event", AttemptOutcome.RESET},
            {EndReason.CONNECTION_LOST, 2, "broken-midway", AttemptOutcome.RESET},
            {EndReason.MALFORMED, 0, "unreadable-before-head", AttemptOutcome.RESET},
            {EndReason.MALFORMED, 2, "unreadable-midway", AttemptOutcome.RESET},
            {EndReason.TRUNCATED, 1, "cut-short-before-event", AttemptOutcome.RESET},
            {EndReason.TRUNCATED, 2, "cut-short-midway", AttemptOutcome.RESET},
            {EndReason.STALLED, 0, "stalled-before-head", AttemptOutcome.STALLED},
            {EndReason.STALLED, 2, "stalled-midway", AttemptOutcome.STALLED},
            {EndReason.TIMED_OUT, 0, "out-of-time", AttemptOutcome.TIMEOUT},
            {EndReason.CLIENT_DISCONNECTED, 2, "reader-left", AttemptOutcome.CANCELLED},
            {EndReason.CONNECT_FAILED, 0, "not-connected", AttemptOutcome.CONNECT_FAILED},
        };
        for (Object[] row : table) {
            ResponseStream stream = openStream(registry, 1, true);
            if ((int) row[1] > 0) {
                stream.onHead(nowNanos, true);
            }
            if ((int) row[1] > 1) {
                stream.onChunk(nowNanos, 5);
            }
            stream.onBackendEnded((EndReason) row[0]);
            stream.close();
            assertEquals(row[2], stream.attemptEnd().label());
            assertEquals(row[3], stream.attemptEnd().outcome());
            assertEquals(StreamState.CLOSED, stream.state());
        }
        assertEquals(0, registry.openStreams());
        assertEquals(0, registry.bufferedBytes());
        assertEquals(
                table.length,
                registry.statistics().get(0).endsByLabel().values().stream()
                        .mapToLong(n -> n)
                        .sum());
    }

    @Test
    public void steadyBackendHasShorterSilenceTimeoutThanSlowOne() {
        ResponseStream unknown = openStreamingStream(registry, 1);
        assertEquals(nowNanos + 4500 * MILLISECOND_NANOS, wakeUntil(unknown, nowNanos + 4500 * MILLISECOND_NANOS));
        trainBaseline(registry, 1, 60, 300, new Random(1));
        ResponseStream steady = openStreamingStream(registry, 1);
        long at = nowNanos;
        wakeUntil(steady, at + 3 * SECOND_NANOS);
        assertEquals(StreamState.STALLED, steady.state());
        assertEquals(List.of(), endReasons);
        wakeUntil(steady, at + 3300 * MILLISECOND_NANOS);
        assertEquals("a pause of 3 s and the gap that it fell into", List.of(EndReason.STALLED), endReasons);
        // A backend whose events come 1 s apart is given more, and the same silence elsewhere still is not.
        StreamRegistry slow = new StreamRegistry(TIMEOUTS);
        trainBaseline(slow, 1, 1000, 3000, new Random(1));
        ResponseStream patient = openStreamingStream(slow, 1);
        assertEquals(at + 4500 * MILLISECOND_NANOS, wakeUntil(patient, at + 4500 * MILLISECOND_NANOS));
        assertEquals(1, endReasons.size());
    }

    @Test
    public void threeSecondPauseDoesNotEndStream() {
        trainBaseline(registry, 1, 60, 300, new Random(1));
        ResponseStream stream = openStreamingStream(registry, 1);
        wakeUntil(stream, nowNanos + 3 * SECOND_NANOS);
        nowNanos += 3 * SECOND_NANOS - 1;
        stream.onChunk(nowNanos, 10);
        stream.onClientCaughtUp(nowNanos);
        assertEquals(StreamState.STREAMING, stream.state());
        wakeUntil(stream, nowNanos + 3 * SECOND_NANOS);
        assertEquals(List.of(), endReasons);
    }

    @Test
    public void firstEventTimesOutEarlyOnlyWhenRetryIsPossible() {
        for (int backend = 0; backend < 5; backend++) {
            trainBaseline(registry, backend, 60, 300, new Random(backend));
        }
        ResponseStream stuck = openStream(registry, 1, true);
        ResponseStream only = openStream(registry, 2, false);
        long sent = nowNanos;
        wakeUntil(stuck, sent + 8 * SECOND_NANOS);
        wakeUntil(only, sent + 8 * SECOND_NANOS);
        assertEquals(List.of(EndReason.STALLED), endReasons);
        stuck.onBackendEnded(EndReason.STALLED);
        assertEquals("stalled-before-head", stuck.attemptEnd().label());
        assertEquals(StreamState.CLOSED, stuck.state());
        assertNull(only.attemptEnd());
        // With little time left there would be none for another.
        ResponseStream late =
                registry.open(nowNanos, new StreamParameters(3, 1000, nowNanos + SECOND_NANOS, true, true), owner);
        wakeUntil(late, nowNanos + SECOND_NANOS);
        assertEquals(1, endReasons.size());
    }

    /** The time for a first event was over in the middle of its pieces, and a sound stream was cut. */
    @Test
    public void partialFirstEventKeepsStreamAliveWhileDataArrives() {
        for (int backend = 0; backend < 5; backend++) {
            trainBaseline(registry, backend, 60, 300, new Random(backend));
        }
        long sent = nowNanos;
        ResponseStream waits = openStream(registry, 1, true);
        long givenUp = waits.wakeAtNanos();
        wakeUntil(waits, sent + 8 * SECOND_NANOS);
        assertEquals(List.of(EndReason.STALLED), endReasons);
        endReasons.clear();
        ResponseStream begun = openStream(registry, 1, true);
        long at = sent + 200 * MILLISECOND_NANOS;
        begun.onHead(at, true);
        for (; at < 2 * givenUp - sent; at += 50 * MILLISECOND_NANOS) {
            begun.onPartialData(at);
            begun.setBufferedBytes(5);
            wakeUntil(begun, at + 50 * MILLISECOND_NANOS);
        }
        assertEquals(List.of(), endReasons);
        // Its silence ends it all the same.
        assertTrue(wakeUntil(begun, at + 8 * SECOND_NANOS) >= at + 8 * SECOND_NANOS);
        assertEquals(List.of(EndReason.STALLED), endReasons);
    }

    /** Waits that were given up count as at least as long, or what is allowed would shrink with every one of them. */
    /** A node of a large fleet meets most lengths of prompt for the first time; nothing is known of them. */
    @Test
    public void promptOfUnknownLengthHasNoFirstEventTimeout() {
        for (double length : new double[] {1, 300, 2100, 30_000}) {
            for (int taught = 0; taught < 2; taught++) {
                StreamRegistry all = new StreamRegistry(TIMEOUTS);
                if (taught == 1) {
                    trainBaseline(all, 1, 40, 100, new Random(5));
                }
                ResponseStream stream = all.open(
                        nowNanos, new StreamParameters(1, length, nowNanos + 8 * SECOND_NANOS, true, true), owner);
                assertEquals(
                        "length " + length + ", others taught: " + taught, ResponseStream.NEVER, stream.wakeAtNanos());
            }
        }
    }

    @Test
    public void firstEventTimeoutAdaptsToFleetSlowdown() {
        Random random = new Random(5);
        for (int backend = 0; backend < 5; backend++) {
            trainBaseline(registry, backend, 60, 300, random);
        }
        int cut = 0;
        for (int i = 0; i < 400; i++) {
            ResponseStream stream = openStream(registry, i % 5, true);
            long arrives = nowNanos + (long) (1500 * MILLISECOND_NANOS * Math.exp(0.2 * random.nextGaussian()));
            int before = endReasons.size();
            wakeUntil(stream, arrives);
            if (endReasons.size() > before) {
                stream.onBackendEnded(EndReason.STALLED);
                cut += i >= 100 ? 1 : 0;
            } else {
                stream.onHead(arrives, true);
                stream.onChunk(arrives, 1);
                stream.onResponseComplete(EndReason.COMPLETED);
                stream.close();
            }
            nowNanos += 10 * MILLISECOND_NANOS;
        }
        assertEquals("cut after the first hundred", 0, cut);
    }

    @Test
    public void silenceCommonToMostBackendsGetsMaximumTimeout() {
        for (int backend = 0; backend < 5; backend++) {
            trainBaseline(registry, backend, 60, 300, new Random(backend));
        }
        List<ResponseStream> all = new ArrayList<>();
        for (int backend = 0; backend < 5; backend++) {
            all.add(openStreamingStream(registry, backend));
        }
        long began = nowNanos;
        for (long at = began; at < began + 4500 * MILLISECOND_NANOS; at += 10 * MILLISECOND_NANOS) {
            for (ResponseStream stream : all) {
                wakeUntil(stream, at);
            }
        }
        assertEquals(List.of(), endReasons);
        all.forEach(stream -> stream.wake(began + 4500 * MILLISECOND_NANOS));
        assertEquals(5, endReasons.size());
        // Two of five are not most: they are given up as soon as one alone.
        endReasons.clear();
        all.forEach(stream -> stream.onBackendEnded(EndReason.STALLED));
        all.forEach(ResponseStream::close);
        for (int backend = 0; backend < 5; backend++) {
            ResponseStream stream = openStreamingStream(registry, backend);
            if (backend < 2) {
                wakeUntil(stream, began + 3300 * MILLISECOND_NANOS);
            }
        }
        assertEquals(List.of(EndReason.STALLED, EndReason.STALLED), endReasons);
    }

    /** A cut site of two: its streams are given up as soon as one alone would be, the others' go on. */
    @Test
    public void siteOutageEndsOnlyStreamsOfThatSite() {
        for (int backend = 0; backend < 14; backend++) {
            trainBaseline(registry, backend, 60, 300, new Random(backend));
        }
        List<ResponseStream> cut = new ArrayList<>();
        List<ResponseStream> others = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            cut.add(openStreamingStream(registry, i % 7));
            others.add(openStreamingStream(registry, 7 + i % 7));
        }
        long began = nowNanos;
        for (long at = began; at <= began + 3300 * MILLISECOND_NANOS; at += 50 * MILLISECOND_NANOS) {
            for (ResponseStream stream : others) {
                stream.onChunk(at, 1);
                stream.onClientCaughtUp(at);
            }
            for (ResponseStream stream : cut) {
                wakeUntil(stream, at + 1);
            }
        }
        assertEquals(60, endReasons.size());
        assertTrue(others.stream().allMatch(stream -> stream.state() == StreamState.STREAMING));
    }

    /** A thread that was held up finds its timers due before it has read what came in the meantime. */
    @Test
    public void lateWakeRechecksBeforeEndingStream() {
        ResponseStream stream = openStreamingStream(registry, 1);
        long due = stream.wakeAtNanos();
        assertEquals(nowNanos + 4500 * MILLISECOND_NANOS, due);
        stream.wake(due + SECOND_NANOS);
        assertEquals(List.of(), endReasons);
        assertTrue(stream.wakeAtNanos() > due + SECOND_NANOS);
        stream.onChunk(due + SECOND_NANOS, 10);
        stream.onClientCaughtUp(due + SECOND_NANOS);
        assertEquals(StreamState.STREAMING, stream.state());
    }

    @Test
    public void stalledClientTimesOutButSlowClientDoesNot() {
        ResponseStream stream = openStreamingStream(registry, 1);
        stream.onChunk(nowNanos, 500);
        stream.onClientBackpressure(nowNanos, 400);
        assertEquals(StreamState.CLIENT_SLOW, stream.state());
        assertEquals(400, registry.bufferedBytes());
        long began = nowNanos;
        wakeUntil(stream, began + 15 * SECOND_NANOS);
        assertEquals(StreamState.CLIENT_STALLED, stream.state());
        stream.onClientBackpressure(began + 15 * SECOND_NANOS, 399);
        assertEquals(StreamState.CLIENT_SLOW, stream.state());
        wakeUntil(stream, began + 17 * SECOND_NANOS);
        assertEquals("to the module it is no work any more, once", 1, clientStalls);
        wakeUntil(stream, began + 35 * SECOND_NANOS);
        assertEquals(List.of(), endReasons);
        stream.wake(began + 35 * SECOND_NANOS);
        assertEquals(List.of(EndReason.CLIENT_STALLED), endReasons);
        stream.onBackendEnded(EndReason.CLIENT_STALLED);
        stream.close();
        assertEquals("reader-stopped", stream.attemptEnd().label());
        assertEquals(0, registry.bufferedBytes());
    }

    @Test
    public void stalledClientTimesOutWhileFlushing() {
        ResponseStream stream = openStreamingStream(registry, 1);
        stream.onChunk(nowNanos, 50);
        stream.onClientBackpressure(nowNanos, 50);
        stream.onResponseComplete(EndReason.COMPLETED);
        wakeUntil(stream, nowNanos + 20 * SECOND_NANOS + 1);
        assertEquals(List.of(EndReason.CLIENT_STALLED), endReasons);
        assertEquals("reader-stopped", stream.attemptEnd().label());
    }

    @Test
    public void bufferLimitEvictsLongestStalledClientFirst() {
        List<ResponseStream> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ResponseStream stream = openStreamingStream(registry, i);
            stream.onChunk(nowNanos, 300);
            if (i < 3) {
                stream.onClientBackpressure(nowNanos + i, 300);
            }
            all.add(stream);
        }
        // 300 bytes each of 1000: the first has just taken a byte, so the second goes, and no more than needed.
        assertEquals(900 + 300, registry.bufferedBytes());
        all.get(0).onClientBackpressure(nowNanos + 5, 299);
        assertEquals(List.of(EndReason.BUFFER_LIMIT_REACHED), endReasons);
        assertEquals(StreamState.ABORTED, all.get(1).state());
        all.get(1).close();
        assertEquals(899, registry.bufferedBytes());
    }

    @Test
    public void bufferedResponseOverLimitIsEvicted() {
        ResponseStream stream =
                registry.open(nowNanos, new StreamParameters(1, 0, nowNanos + SECOND_NANOS, true, false), owner);
        stream.onHead(nowNanos, true);
        stream.setBufferedBytes(1000);
        assertEquals(List.of(), endReasons);
        stream.setBufferedBytes(1001);
        assertEquals(List.of(EndReason.BUFFER_LIMIT_REACHED), endReasons);
    }

    @Test
    public void removedBackendIsDroppedWithItsLastStream() {
        ResponseStream stream = openStreamingStream(registry, 1);
        registry.onBackendRemoved(1);
        assertEquals(1, registry.statistics().size());
        stream.onBackendEnded(EndReason.CONNECTION_LOST);
        stream.close();
        assertEquals(List.of(), registry.statistics());
    }

    /** In 50,000 streams with heavy tails, from boxes up to nine times slower than others, none is cut. */
    @Test
    public void activeStreamsWithHeavyTailedGapsAreNeverEnded() {
        Random random = new Random(7);
        StreamRegistry all = new StreamRegistry(new StreamTimeouts(
                true,
                5,
                200 * MILLISECOND_NANOS,
                4500 * MILLISECOND_NANOS,
                100 * MILLISECOND_NANOS,
                0.6,
                20 * SECOND_NANOS,
                1 << 20));
        int cut = 0;
        for (int i = 0; i < 50_000; i++) {
            int backend = random.nextInt(14);
            double speed = backend < 3 ? 3 * (backend + 1) : 1;
            ResponseStream stream = openStream(all, backend, false);
            long at = nowNanos + (long) (200 * MILLISECOND_NANOS * speed * Math.exp(0.5 * random.nextGaussian()));
            stream.onHead(at, true);
            stream.onChunk(at, 1);
            stream.onClientCaughtUp(at);
            for (int event = 0; event < 20 && stream.attemptEnd() == null; event++) {
                long next = at + (long) (20 * MILLISECOND_NANOS * speed * Math.exp(0.5 * random.nextGaussian()));
                int before = endReasons.size();
                wakeUntil(stream, next);
                if (endReasons.size() > before) {
                    cut++;
                    break;
                }
                stream.onChunk(next, 1);
                stream.onClientCaughtUp(next);
                at = next;
            }
            stream.onResponseComplete(EndReason.COMPLETED);
            stream.close();
            nowNanos += MILLISECOND_NANOS;
        }
        assertEquals(0, cut);
        assertTrue(
                "and steady targets are still held to less than the longest time: "
                        + all.statistics().stream()
                                .map(f -> f.allowedGapNanos() / MILLISECOND_NANOS)
                                .collect(Collectors.toList()),
                all.statistics().get(13).allowedGapNanos() < 4500 * MILLISECOND_NANOS);
    }
}
