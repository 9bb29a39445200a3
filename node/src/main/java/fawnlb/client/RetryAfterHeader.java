package fawnlb.client;

import java.math.BigDecimal;

/** The value of a {@code Retry-After} header: seconds, as short as they can be written. */
public final class RetryAfterHeader {
    private RetryAfterHeader() {}

    public static String formatSeconds(long delayNanos) {
        long millis = Math.max(1, delayNanos / 1_000_000);
        return BigDecimal.valueOf(millis, 3).stripTrailingZeros().toPlainString();
    }
}
