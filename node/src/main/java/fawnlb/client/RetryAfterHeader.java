package fawnlb.client;

import java.math.BigDecimal;

/** Formats the header {@code Retry-After}: in seconds, with a fraction where the delay has one. */
public final class RetryAfterHeader {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final int DECIMALS_OF_MILLISECONDS = 3;

    private RetryAfterHeader() {}

    /** Formats a delay in nanoseconds, rounded down to milliseconds but at least one millisecond. */
    public static String formatSeconds(long delayNanos) {
        long millis = Math.max(1, delayNanos / NANOS_PER_MILLISECOND);
        return BigDecimal.valueOf(millis, DECIMALS_OF_MILLISECONDS)
                .stripTrailingZeros()
                .toPlainString();
    }
}
