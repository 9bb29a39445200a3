package fawnlb.lab.load;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.Well19937c;
import org.junit.Test;

public class PlanTest {
    @Test
    public void arrivalsAreAFunctionOfTheSeedAndOfTheAskedRate() {
        List<Plan.Turn> turns = Plan.draw(new Well19937c(1), 30, 100);
        assertEquals(turns, Plan.draw(new Well19937c(1), 30, 100));
        assertEquals(30, turns.size() / 100.0, 4);
        Map<Long, Plan.Turn> last = new HashMap<>();
        for (Plan.Turn turn : turns) {
            Plan.Turn before = last.put(turn.session(), turn);
            assertTrue(turn.prompt() > turn.prefixLength());
            assertTrue(
                    "a turn's prompt holds what went before",
                    before == null
                            || turn.prompt() > before.prompt() + before.out()
                                    && turn.prefix() == before.prefix()
                                    && turn.at() > before.at());
        }
        assertEquals(
                Plan.MEAN_OUT, turns.stream().mapToInt(Plan.Turn::out).average().orElse(0), 25);
    }
}
