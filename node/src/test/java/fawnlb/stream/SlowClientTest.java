package fawnlb.stream;

import static fawnlb.stream.StreamHarness.ONE_EVENT;
import static fawnlb.stream.StreamHarness.SECOND_NANOS;
import static fawnlb.stream.StreamHarness.wakeUntil;
import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointId;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryObserver;
import fawnlb.memory.MemoryUse;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Clients that don't read what is sent to them, and the limit on the bytes that are buffered for them. */
public class SlowClientTest {
    private final StreamHarness harness = new StreamHarness();
    private final long startNanos = harness.nowNanos;

    @Test
    public void stalledClientTimesOutButSlowClientDoesNot() {
        ResponseStream stream = harness.openStreamingStream(1);
        stream.onChunk(startNanos, 500, ONE_EVENT);
        stream.onClientBackpressure(startNanos, 400);
        assertEquals(StreamState.CLIENT_SLOW, stream.state());
        assertEquals(400, harness.registry.bufferedBytes());

        wakeUntil(stream, startNanos + 15 * SECOND_NANOS);
        assertEquals(StreamState.CLIENT_STALLED, stream.state());

        stream.onClientBackpressure(startNanos + 15 * SECOND_NANOS, 399);
        assertEquals(StreamState.CLIENT_SLOW, stream.state());

        wakeUntil(stream, startNanos + 17 * SECOND_NANOS);
        assertEquals("reported to the owner once", 1, harness.clientStalls);

        wakeUntil(stream, startNanos + 35 * SECOND_NANOS);
        assertEquals(List.of(), harness.endReasons);

        stream.wake(startNanos + 35 * SECOND_NANOS);
        assertEquals(List.of(EndReason.CLIENT_STALLED), harness.endReasons);

        stream.onBackendEnded(EndReason.CLIENT_STALLED);
        stream.close();
        assertEquals("reader-stopped", stream.attemptEnd().label());
        assertEquals(0, harness.registry.bufferedBytes());
    }

    @Test
    public void stalledClientTimesOutWhileFlushing() {
        ResponseStream stream = harness.openStreamingStream(1);
        stream.onChunk(startNanos, 50, ONE_EVENT);
        stream.onClientBackpressure(startNanos, 50);
        stream.onResponseComplete(EndReason.COMPLETED);

        wakeUntil(stream, startNanos + 20 * SECOND_NANOS + 1);

        assertEquals(List.of(EndReason.CLIENT_STALLED), harness.endReasons);
        assertEquals("reader-stopped", stream.attemptEnd().label());
    }

    /** Four streams of 300 bytes exceed the limit of 1000; the fourth client is not slow. */
    @Test
    public void bufferLimitEvictsLongestStalledClientFirst() {
        List<ResponseStream> streams = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ResponseStream stream = harness.openStreamingStream(i);
            stream.onChunk(startNanos, 300, ONE_EVENT);
            if (i < 3) {
                stream.onClientBackpressure(startNanos + i, 300);
            }
            streams.add(stream);
        }
        assertEquals(900 + 300, harness.registry.bufferedBytes());

        // The first client reads a byte, so the second has read nothing for longest; evicting it alone is enough.
        streams.get(0).onClientBackpressure(startNanos + 5, 299);

        assertEquals(List.of(EndReason.BUFFER_LIMIT_REACHED), harness.endReasons);
        assertEquals(StreamState.ABORTED, streams.get(1).state());
        streams.get(1).close();
        assertEquals(899, harness.registry.bufferedBytes());
    }

    /** What a stream holds is its whole buffer, until its client has all of it. */
    @Test
    public void longestStalledClientIsEvictedWhenTheProcessHoldsTooMuch() {
        MemoryBudget memory = new MemoryBudget(1000, 0, MemoryObserver.NONE);
        StreamHarness limited = new StreamHarness(StreamHarness.TIMEOUTS, memory);
        ResponseStream stalled = limited.openStreamingStream(1);
        ResponseStream reading = limited.openStreamingStream(2);
        stalled.setHeapBytes(700);
        stalled.onChunk(startNanos, 5, ONE_EVENT);
        stalled.onClientBackpressure(startNanos, 5);
        reading.setHeapBytes(300);
        reading.onChunk(startNanos, 5, ONE_EVENT);
        assertEquals(1000, memory.reservedBytes(MemoryUse.RESPONSES));

        reading.setHeapBytes(301);
        reading.onClientBackpressure(startNanos, 5);

        assertEquals(StreamState.ABORTED, stalled.state());
        assertEquals(StreamState.CLIENT_SLOW, reading.state());
        assertEquals(301, memory.reservedBytes(MemoryUse.RESPONSES));
        reading.onClientCaughtUp(startNanos);
        assertEquals(0, memory.reservedBytes(MemoryUse.RESPONSES));
    }

    @Test
    public void bufferedResponseOverLimitIsEvicted() {
        ResponseStream stream =
                harness.open(new StreamParameters(EndpointId.ofNumber(1), 0, startNanos + SECOND_NANOS, true, false));
        stream.onHead(startNanos, true);

        stream.setBufferedBytes(1000);
        assertEquals(List.of(), harness.endReasons);

        stream.setBufferedBytes(1001);
        assertEquals(List.of(EndReason.BUFFER_LIMIT_REACHED), harness.endReasons);
    }
}
