package fawnlb.client;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class RetryAfterHeaderTest {
    @Test
    public void retryAfterHasNoTrailingZeros() {
        assertEquals("2", RetryAfterHeader.formatSeconds(2_000_000_000L));
        assertEquals("1.5", RetryAfterHeader.formatSeconds(1_500_000_000L));
        assertEquals("0.001", RetryAfterHeader.formatSeconds(1L));
        assertEquals("100", RetryAfterHeader.formatSeconds(100_000_000_000L));
    }
}
