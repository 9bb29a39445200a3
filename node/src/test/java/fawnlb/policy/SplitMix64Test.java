package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.Test;

public class SplitMix64Test {
    @Test
    public void hashesAreThoseOfTheGeneratorSeededWithTheKey() {
        for (long key : new long[] {0, 1, -1, 42, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertEquals(new SplittableRandom(key).nextLong(), SplitMix64.mix(key));
        }
    }

    @Test
    public void differentKeysHaveDifferentHashes() {
        Set<Long> hashes = new HashSet<>();
        for (long key = -5000; key < 5000; key++) {
            hashes.add(SplitMix64.mix(key));
        }
        assertEquals(10_000, hashes.size());
    }

    @Test
    public void unitIntervalIsFilledEvenlyAndExcludesOne() {
        int[] tenths = new int[10];
        for (long key = 0; key < 10_000; key++) {
            double draw = SplitMix64.toUnitInterval(key);
            assertTrue(draw >= 0 && draw < 1);
            tenths[(int) (10 * draw)]++;
        }
        for (int count : tenths) {
            assertTrue("count " + count, count > 850 && count < 1150);
        }
    }
}
