package fawnlb.restore;

/**
 * How far restored endpoints are trusted. Durations are in nanoseconds.
 *
 * @param halfLifeNanos the age at which a snapshot's entry weighs half
 * @param requiredResponses how many responses make an endpoint healthy
 * @param warmUpNanos the time from the first response until an endpoint may count as warm
 * @param fleetPendingLimit how many requests of all instances together may wait for their first token at an endpoint on
 *     trial
 * @param instanceCount how many instances there are
 * @param minConcurrentTrials how many endpoints may be tried at once at least
 * @param baseEjectionNanos how long the first failure ejects an endpoint; each further one doubles it
 * @param maxEjectionNanos the longest ejection
 * @param emptyListHoldNanos how long an empty list is not applied while there are restored endpoints; 0 applies it at
 *     once
 */
public record RestoreSettings(
        long halfLifeNanos,
        int requiredResponses,
        long warmUpNanos,
        int fleetPendingLimit,
        int instanceCount,
        int minConcurrentTrials,
        long baseEjectionNanos,
        long maxEjectionNanos,
        long emptyListHoldNanos) {

    /** This instance's part of {@link #fleetPendingLimit}, one at least. */
    int instancePendingLimit() {
        return Math.max(1, fleetPendingLimit / Math.max(1, instanceCount));
    }
}
