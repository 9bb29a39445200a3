package fawnlb.client;

import java.math.BigDecimal;

/** The value of a {@code Retry-After} header: seconds, as short as they can be written. */
public final class RetryAfter {
    private RetryAfter() {}

    public static String seconds(long nanos) {
        long millis = Math.max(1, nanos / 1_000_000);
        return BigDecimal.valueOf(millis, 3).stripTrailingZeros().toPlainString();
    }
}
