package fawnlb.lab.load;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.Well19937c;
import org.junit.Test;

public class ArrivalPlanTest {
    @Test
    public void drawIsDeterministicPerSeedAndMeetsTheRequestedRate() {
        List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(new Well19937c(1), 30, 100);
        assertEquals(turns, ArrivalPlan.draw(new Well19937c(1), 30, 100));
        assertEquals(30, turns.size() / 100.0, 4);
        Map<Long, ArrivalPlan.Turn> last = new HashMap<>();
        for (ArrivalPlan.Turn turn : turns) {
            ArrivalPlan.Turn before = last.put(turn.session(), turn);
            assertTrue(turn.promptTokens() > turn.prefixTokens());
            assertTrue(
                    "a turn's prompt holds what went before",
                    before == null
                            || turn.promptTokens() > before.promptTokens() + before.outputTokens()
                                    && turn.prefix() == before.prefix()
                                    && turn.startNanos() > before.startNanos());
        }
        assertEquals(
                ArrivalPlan.MEAN_OUTPUT_TOKENS,
                turns.stream()
                        .mapToInt(ArrivalPlan.Turn::outputTokens)
                        .average()
                        .orElse(0),
                25);
    }
}
