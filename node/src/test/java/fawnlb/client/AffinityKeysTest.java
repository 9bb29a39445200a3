package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class AffinityKeysTest {
    @Test
    public void affinityKeysAreHexOrHashed() {
        assertEquals(0x7f3a9c21e0b4d655L, AffinityKeys.parse("7f3a9c21e0b4d655"));
        assertEquals(0, AffinityKeys.parse(" "));
        assertTrue(AffinityKeys.parse("someone") != AffinityKeys.parse("someone else")
                && AffinityKeys.parse("someone") == AffinityKeys.parse("someone"));
    }
}
