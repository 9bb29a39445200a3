package fawnlb.config;

import fawnlb.decision.LoadBalancerSettings;
import fawnlb.restore.RestoreSettings;
import fawnlb.snapshot.WriteIntervals;
import java.nio.file.Path;

/**
 * The operators' file for starts without discovery. {@code snapshotFile}: where the list is kept, null if nowhere;
 * {@code maxSnapshotAgeNanos}: what was last heard of longer ago, in nanoseconds, is not started from;
 * {@code isListTrusted}: the list is believed as it stands, without probation.
 */
public record StartupConfiguration(
        Path snapshotFile,
        WriteIntervals snapshotPacing,
        long maxSnapshotAgeNanos,
        boolean isListTrusted,
        RestoreSettings restoreRules) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_DAY = 86_400_000;

    /** What holds without a file: nothing is kept, and the configuration's own list is on probation. */
    public static StartupConfiguration defaults(LoadBalancerSettings loadBalancerSettings) {
        return new StartupConfiguration(
                null,
                new WriteIntervals(0, 0),
                7 * MILLIS_PER_DAY * NANOS_PER_MILLI,
                false,
                restoreRulesOfMillis(
                        loadBalancerSettings,
                        3_600_000,
                        3,
                        loadBalancerSettings.endpointLifecycle().slowStartWindowNanos() / NANOS_PER_MILLI,
                        8,
                        3,
                        1000,
                        16_000,
                        0));
    }

    public static StartupConfiguration read(Path file, LoadBalancerSettings loadBalancerSettings)
            throws ServerConfiguration.ConfigurationException {
        ConfigurationFile settings = new ConfigurationFile(file);
        String snapshotFile = settings.optionalText("snapshot.file");
        WriteIntervals snapshotPacing = new WriteIntervals(
                settings.readNumber("snapshot.least-interval-ms", 1000, 100, MILLIS_PER_DAY) * NANOS_PER_MILLI,
                settings.readNumber("snapshot.refresh-ms", 30_000, 100, MILLIS_PER_DAY) * NANOS_PER_MILLI);
        long maxSnapshotAgeNanos =
                settings.readNumber("snapshot.oldest-ms", 7 * MILLIS_PER_DAY, 1, 3650 * MILLIS_PER_DAY)
                        * NANOS_PER_MILLI;
        RestoreSettings rules = restoreRulesOfMillis(
                loadBalancerSettings,
                settings.readNumber("probation.half-life-ms", 3_600_000, 1, 3650 * MILLIS_PER_DAY),
                (int) settings.readNumber("probation.proofs", 3, 1, 1000),
                settings.readNumber(
                        "probation.settle-ms",
                        loadBalancerSettings.endpointLifecycle().slowStartWindowNanos() / NANOS_PER_MILLI,
                        0,
                        MILLIS_PER_DAY),
                (int) settings.readNumber("probation.waiting", 8, 1, 10_000),
                (int) settings.readNumber("probation.at-once", 3, 1, 10_000),
                settings.readNumber("probation.doubt-ms", 1000, 1, MILLIS_PER_DAY),
                settings.readNumber("probation.longest-doubt-ms", 16_000, 1, MILLIS_PER_DAY),
                settings.readNumber("empty-list.hold-ms", 0, 0, MILLIS_PER_DAY));
        if (rules.maxEjectionNanos() < rules.baseEjectionNanos()) {
            throw settings.invalid("probation.longest-doubt-ms", "shorter than probation.doubt-ms");
        }
        boolean isListTrusted = !settings.readBoolean("probation.on", true);
        settings.rejectUnknownSettings();
        return new StartupConfiguration(
                snapshotFile == null ? null : Path.of(snapshotFile),
                snapshotPacing,
                maxSnapshotAgeNanos,
                isListTrusted,
                rules);
    }

    private static RestoreSettings restoreRulesOfMillis(
            LoadBalancerSettings loadBalancerSettings,
            long halfLifeMillis,
            int requiredSuccesses,
            long settleMillis,
            int maxWaitingRequests,
            int maxConcurrentTrials,
            long ejectionMillis,
            long maxEjectionMillis,
            long emptyListHoldMillis) {
        return new RestoreSettings(
                halfLifeMillis * NANOS_PER_MILLI,
                requiredSuccesses,
                settleMillis * NANOS_PER_MILLI,
                maxWaitingRequests,
                loadBalancerSettings.instances(),
                maxConcurrentTrials,
                ejectionMillis * NANOS_PER_MILLI,
                maxEjectionMillis * NANOS_PER_MILLI,
                emptyListHoldMillis * NANOS_PER_MILLI);
    }
}
