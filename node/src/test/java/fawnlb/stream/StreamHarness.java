package fawnlb.stream;

import fawnlb.decision.EndpointId;
import fawnlb.memory.MemoryBudget;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A registry with a clock that tests set by hand; records what its streams tell their owner. */
final class StreamHarness implements StreamRegistry.Owner {
    static final long MILLISECOND_NANOS = 1_000_000;
    static final long SECOND_NANOS = 1000 * MILLISECOND_NANOS;
    /** With these, a stream of an untrained backend ends after 4.5 s of silence, and 1000 bytes may be buffered. */
    static final StreamTimeouts TIMEOUTS = new StreamTimeouts(
            true, 5, 3 * SECOND_NANOS, 4500 * MILLISECOND_NANOS, 500 * MILLISECOND_NANOS, 0.6, 20 * SECOND_NANOS, 1000);

    static final int PROMPT_TOKENS = 1000;

    /** A read that holds a whole event. */
    static final EventProgress ONE_EVENT = new EventProgress(1, 80, 0, false);

    private static final int TRAINING_STREAMS = 40;
    private static final int TRAINING_EVENTS = 30;
    private static final double TRAINING_SPREAD = 0.2;

    final StreamRegistry registry;
    final List<EndReason> endReasons = new ArrayList<>();
    int clientStalls;
    long nowNanos = SECOND_NANOS;

    StreamHarness() {
        this(TIMEOUTS);
    }

    StreamHarness(StreamTimeouts timeouts) {
        this(timeouts, MemoryBudget.unlimited());
    }

    StreamHarness(StreamTimeouts timeouts, MemoryBudget memory) {
        registry = new StreamRegistry(timeouts, memory);
    }

    @Override
    public void endStream(EndReason reason) {
        endReasons.add(reason);
    }

    @Override
    public void onClientStalled() {
        clientStalls++;
    }

    ResponseStream open(StreamParameters parameters) {
        return registry.open(nowNanos, parameters, this);
    }

    /** Opens a stream of an attempt after which another one could follow. */
    ResponseStream openStream(long backend) {
        return open(new StreamParameters(
                EndpointId.ofNumber(backend), PROMPT_TOKENS, nowNanos + 8 * SECOND_NANOS, true, true));
    }

    /** Opens a stream of an attempt that is the last of its request. */
    ResponseStream openLastAttemptsStream(long backend) {
        return open(new StreamParameters(
                EndpointId.ofNumber(backend), PROMPT_TOKENS, nowNanos + 8 * SECOND_NANOS, false, true));
    }

    /** Opens a stream whose first event has been read by the client. */
    ResponseStream openStreamingStream(long backend) {
        ResponseStream stream = openStream(backend);
        stream.onHead(nowNanos, true);
        relayChunk(stream, nowNanos, 10);
        return stream;
    }

    /** A chunk arrives, and the client reads it at once. */
    static void relayChunk(ResponseStream stream, long atNanos, int bytes) {
        stream.onChunk(atNanos, bytes, ONE_EVENT);
        stream.onClientCaughtUp(atNanos);
    }

    /** Trains the backends from 0 to below the count, each with 60 ms between events and 300 ms to the first one. */
    void trainSteadyBackends(int count) {
        for (int backend = 0; backend < count; backend++) {
            trainBackend(backend, 60, 300, new Random(backend));
        }
    }

    /** Trains a backend's usual latencies with the streams of forty requests, spread around these medians. */
    void trainBackend(long backend, double medianGapMillis, double medianWaitMillis, Random random) {
        for (int i = 0; i < TRAINING_STREAMS; i++) {
            ResponseStream stream = openStream(backend);
            long atNanos = nowNanos + spread(medianWaitMillis * MILLISECOND_NANOS, TRAINING_SPREAD, random);
            stream.onHead(atNanos, true);
            relayChunk(stream, atNanos, 10);
            for (int event = 0; event < TRAINING_EVENTS; event++) {
                atNanos += spread(medianGapMillis * MILLISECOND_NANOS, TRAINING_SPREAD, random);
                relayChunk(stream, atNanos, 10);
            }
            stream.onChunk(atNanos, 1, ONE_EVENT);
            stream.onResponseComplete(EndReason.COMPLETED);
            stream.close();
        }
    }

    /** A log-normal duration with this median, and this deviation of its logarithm. */
    static long spread(double medianNanos, double deviation, Random random) {
        return (long) (medianNanos * Math.exp(deviation * random.nextGaussian()));
    }

    /** Wakes a stream whenever it asks to be woken before the end, and returns when it asks next. */
    static long wakeUntil(ResponseStream stream, long endNanos) {
        long atNanos = stream.wakeAtNanos();
        while (atNanos < endNanos) {
            stream.wake(atNanos);
            atNanos = stream.wakeAtNanos();
        }
        return atNanos;
    }
}
