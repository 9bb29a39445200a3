package fawnlb.snapshot;

/**
 * How often snapshots are written.
 *
 * @param minIntervalNanos the shortest time between two snapshots
 * @param refreshIntervalNanos the time after a response, which changes nothing but an age, and after a write that
 *     failed
 */
public record WriteIntervals(long minIntervalNanos, long refreshIntervalNanos) {}
