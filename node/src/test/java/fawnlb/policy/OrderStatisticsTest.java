package fawnlb.policy;

import static org.junit.Assert.assertEquals;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.Test;

public class OrderStatisticsTest {
    private final SplittableRandom random = new SplittableRandom(5);

    @Test
    public void upperMedianMatchesSortedValues() {
        for (int count = 1; count < 200; count++) {
            double[] values = random.doubles(count).map(x -> Math.floor(x * 20)).toArray();
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            assertEquals(sorted[count / 2], OrderStatistics.upperMedian(Arrays.copyOf(values, count + 3), count), 0);
        }
    }
}
