package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;

import org.junit.Test;

public class AffinityKeysTest {
    @Test
    public void affinityKeysAreHexOrHashed() {
        assertEquals(0x7f3a9c21e0b4d655L, AffinityKeys.parse("7f3a9c21e0b4d655"));
        assertEquals(0, AffinityKeys.parse(" "));
        long hashed = AffinityKeys.parse("someone");
        assertNotEquals(hashed, AffinityKeys.parse("someone else"));
        assertEquals(hashed, AffinityKeys.parse("someone"));
    }
}
