package fawnlb.platform;

import java.math.BigDecimal;

/** The value of a {@code Retry-After} header: seconds, as short as they can be written. */
final class RetryAfter {
    private RetryAfter() { }

    static String seconds(long nanos) {
        long millis = Math.max(1, nanos / 1_000_000);
        return BigDecimal.valueOf(millis, 3).stripTrailingZeros().toPlainString();
    }
}
