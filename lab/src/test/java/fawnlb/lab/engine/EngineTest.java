package fawnlb.lab.engine;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.Well19937c;
import org.junit.Test;

public class EngineTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final EngineProfile PROFILE = new EngineProfile("k", 2, 1, 10_000, 1000, 10, 1, 10_000, 1, 3, 5);
    private static final SlowStartProfile SLOW_START =
            new SlowStartProfile(0.5, 10 * NANOS_PER_SECOND, 4, 3 * NANOS_PER_SECOND);

    private final List<String> tokens = new ArrayList<>();

    private Sequence sequence(String name, long session, int prompt, int out) {
        return new Sequence(session, 0, prompt, 0, out, last -> tokens.add(name + (last ? "!" : "")));
    }

    /** Runs this number of steps and returns how long the last one took, in milliseconds. */
    private static double runSteps(Engine engine, long now, int count) {
        double stepMillis = 0;
        for (int i = 0; i < count; i++) {
            stepMillis = (engine.beginStep(now) - now) / (double) NANOS_PER_MILLI;
            engine.endStep();
        }
        return stepMillis;
    }

    @Test
    public void stepPrefillsOneChunkAndDecodesOneTokenPerPrefilledSequence() {
        Engine engine = new Engine(PROFILE, SLOW_START, 0);
        assertTrue(engine.offer(0, sequence("a", 1, 1500, 2)));
        assertEquals("1000 prompt tokens processed", 10 + 100, runSteps(engine, 0, 1), 1e-6);
        assertEquals("500 prompt tokens processed", 10 + 50, runSteps(engine, 0, 1), 1e-6);
        assertEquals("one token generated", 10 + 1, runSteps(engine, 0, 1), 1e-6);
        assertEquals(List.of("a"), tokens);
        runSteps(engine, 0, 1);
        assertEquals(List.of("a", "a!"), tokens);
        assertEquals(-1, engine.beginStep(0));
    }

    @Test
    public void cachedPromptTokensAreNotProcessedTwice() {
        Engine engine = new Engine(PROFILE, SLOW_START, 0);
        engine.offer(0, sequence("a", 1, 500, 1));
        runSteps(engine, 0, 2);
        Sequence next = sequence("b", 1, 800, 1);
        engine.offer(0, next);
        assertEquals(10 + 29.9, runSteps(engine, 0, 1), 1e-6);
        assertEquals(501, next.cachedPromptTokens());
    }

    @Test
    public void offerIsRejectedWhenBatchAndQueueAreFull() {
        Engine engine = new Engine(PROFILE, SLOW_START, 0);
        for (int i = 0; i < 2; i++) {
            assertTrue(engine.offer(0, sequence("a" + i, i, 10, 5)));
        }
        engine.beginStep(0);
        assertTrue(engine.offer(0, sequence("waits", 5, 10, 5)));
        assertFalse(engine.offer(0, sequence("full", 6, 10, 5)));
        assertEquals(1, engine.queueLength());
    }

    @Test
    public void cancelledSequenceGeneratesNoTokens() {
        Engine engine = new Engine(PROFILE, SLOW_START, 0);
        Sequence first = sequence("a", 1, 10, 5);
        engine.offer(0, first);
        runSteps(engine, 0, 1);
        engine.cancel(first);
        assertEquals(-1, engine.beginStep(0));
        assertEquals(List.of(), tokens);
    }

    @Test
    public void capacityRisesLinearlyDuringSlowStart() {
        double[][] cases = {{0, 0.5}, {5, 0.75}, {10, 1}, {20, 1}};
        for (double[] row : cases) {
            Engine engine = new Engine(PROFILE, SLOW_START, NANOS_PER_SECOND);
            assertEquals(row[1], engine.currentCapacity((long) (row[0] * NANOS_PER_SECOND) + NANOS_PER_SECOND), 1e-9);
        }
        Engine engine = new Engine(PROFILE, SLOW_START, NANOS_PER_SECOND);
        engine.offer(NANOS_PER_SECOND, sequence("a", 1, 1000, 1));
        assertEquals((10 + 100) / 0.5, runSteps(engine, NANOS_PER_SECOND, 1), 1e-6);
        engine.setSlowdown(3);
        assertEquals(11 * 3 / 0.5, runSteps(engine, NANOS_PER_SECOND, 1), 1e-6);
    }

    /**
     * A prompt of 1000 and one token are 106 ms of work: within 3 s an engine in its slow start takes 4 x 0.5 x 3 s of
     * it.
     */
    @Test
    public void overloadDuringSlowStartCollapsesTheEngine() {
        double workMillis = PROFILE.workMillis(1000, 1);
        int maxRequests = (int) (4 * 0.5 * 3000 / workMillis);
        for (int extra : new int[] {0, 1}) {
            Engine engine = new Engine(PROFILE, SLOW_START, NANOS_PER_SECOND);
            for (int i = 0; i < maxRequests + extra; i++) {
                engine.offer(NANOS_PER_SECOND, sequence("a", i, 1000, 1));
            }
            assertEquals(extra == 1, engine.isCollapsed());
        }
        Engine started = new Engine(PROFILE, SLOW_START, 0);
        for (int i = 0; i < 10 * maxRequests; i++) {
            started.offer(NANOS_PER_SECOND, sequence("a", i, 1000, 1));
        }
        assertFalse("after its slow start the engine is full and stays up", started.isCollapsed());
        Engine spread = new Engine(PROFILE, SLOW_START, NANOS_PER_SECOND);
        for (int i = 0; i < 2 * maxRequests; i++) {
            spread.offer(NANOS_PER_SECOND + i * 10L * NANOS_PER_SECOND / maxRequests, sequence("a", i, 1000, 1));
        }
        assertFalse(spread.isCollapsed());
    }

    @Test
    public void profileDrawIsDeterministicPerSeedAndWithinItsRanges() {
        assertEquals(EngineProfile.drawFullRate(new Well19937c(3)), EngineProfile.drawFullRate(new Well19937c(3)));
        for (int seed = 0; seed < 50; seed++) {
            Well19937c random = new Well19937c(seed);
            EngineProfile profile =
                    seed % 2 == 0 ? EngineProfile.drawFullRate(random) : EngineProfile.drawSlowRate(random);
            assertTrue(profile.toString(), profile.speedFactor() >= 0.64 && profile.speedFactor() <= 1.1);
            assertTrue(profile.toString(), profile.maxRunning() >= 25 && profile.maxRunning() <= 96);
        }
    }

    @Test
    public void runningSequencesEvictCachedPrompts() {
        Engine engine = new Engine(PROFILE, SLOW_START, 0);
        engine.offer(0, sequence("a", 1, 4000, 1));
        runSteps(engine, 0, 5);
        engine.offer(0, sequence("large", 2, 7000, 1));
        runSteps(engine, 0, 8);
        Sequence evicted = sequence("a", 1, 4500, 1);
        engine.offer(0, evicted);
        runSteps(engine, 0, 1);
        assertEquals(0, evicted.cachedPromptTokens());
    }
}
