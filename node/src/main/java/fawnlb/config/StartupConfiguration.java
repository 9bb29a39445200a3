package fawnlb.config;

import fawnlb.decision.LoadBalancerSettings;
import fawnlb.restore.RestoreSettings;
import fawnlb.snapshot.WriteIntervals;
import java.nio.file.Path;

/**
 * The configuration of starts without discovery.
 *
 * @param snapshotFile where snapshots of the endpoint list are written, null if none are
 * @param snapshotPacing how often snapshots are written
 * @param maxSnapshotAgeNanos an endpoint of a snapshot is left out if its last contact is longer ago
 * @param isListTrusted whether the endpoints of the first list get requests without having to prove themselves
 * @param restoreRules how the endpoints of the first list prove themselves
 */
public record StartupConfiguration(
        Path snapshotFile,
        WriteIntervals snapshotPacing,
        long maxSnapshotAgeNanos,
        boolean isListTrusted,
        RestoreSettings restoreRules) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_HOUR = 3_600_000;
    private static final long MILLIS_PER_DAY = 24 * MILLIS_PER_HOUR;
    private static final long MILLIS_PER_DECADE = 3650 * MILLIS_PER_DAY;

    /** The configuration that holds without a file: no snapshots, and the first list is not trusted. */
    public static StartupConfiguration defaults(LoadBalancerSettings loadBalancerSettings) {
        try {
            return parse(ConfigurationFile.empty(), loadBalancerSettings);
        } catch (ConfigurationException e) {
            throw new IllegalStateException("the defaults are not valid", e);
        }
    }

    /**
     * Reads the file. Some defaults depend on the settings of the load balancer.
     *
     * @throws ConfigurationException if the file cannot be read, or holds an invalid or unknown setting
     */
    public static StartupConfiguration read(Path file, LoadBalancerSettings loadBalancerSettings)
            throws ConfigurationException {
        ConfigurationFile settings = ConfigurationFile.read(file);
        StartupConfiguration configuration = parse(settings, loadBalancerSettings);
        settings.rejectUnknownSettings();
        return configuration;
    }

    private static StartupConfiguration parse(ConfigurationFile settings, LoadBalancerSettings loadBalancerSettings)
            throws ConfigurationException {
        String snapshotFile = settings.optionalText("snapshot.file");
        WriteIntervals snapshotPacing = new WriteIntervals(
                settings.optionalMillisAsNanos("snapshot.least-interval-ms", 1000, 100, MILLIS_PER_DAY),
                settings.optionalMillisAsNanos("snapshot.refresh-ms", 30_000, 100, MILLIS_PER_DAY));
        long maxSnapshotAgeNanos =
                settings.optionalMillisAsNanos("snapshot.oldest-ms", 7 * MILLIS_PER_DAY, 1, MILLIS_PER_DECADE);
        RestoreSettings restoreRules = parseRestoreRules(settings, loadBalancerSettings);
        if (restoreRules.maxEjectionNanos() < restoreRules.baseEjectionNanos()) {
            throw settings.invalid("probation.longest-doubt-ms", "shorter than probation.doubt-ms");
        }
        boolean isListTrusted = !settings.readBoolean("probation.on", true);
        return new StartupConfiguration(
                snapshotFile == null ? null : Path.of(snapshotFile),
                snapshotPacing,
                maxSnapshotAgeNanos,
                isListTrusted,
                restoreRules);
    }

    private static RestoreSettings parseRestoreRules(
            ConfigurationFile settings, LoadBalancerSettings loadBalancerSettings) throws ConfigurationException {
        long slowStartWindowMillis = loadBalancerSettings.endpointLifecycle().slowStartWindowNanos() / NANOS_PER_MILLI;
        return new RestoreSettings(
                settings.optionalMillisAsNanos("probation.half-life-ms", MILLIS_PER_HOUR, 1, MILLIS_PER_DECADE),
                (int) settings.optionalNumber("probation.proofs", 3, 1, 1000),
                settings.optionalMillisAsNanos("probation.settle-ms", slowStartWindowMillis, 0, MILLIS_PER_DAY),
                (int) settings.optionalNumber("probation.waiting", 8, 1, 10_000),
                loadBalancerSettings.instances(),
                (int) settings.optionalNumber("probation.at-once", 3, 1, 10_000),
                settings.optionalMillisAsNanos("probation.doubt-ms", 1000, 1, MILLIS_PER_DAY),
                settings.optionalMillisAsNanos("probation.longest-doubt-ms", 16_000, 1, MILLIS_PER_DAY),
                settings.optionalMillisAsNanos("empty-list.hold-ms", 0, 0, MILLIS_PER_DAY));
    }
}
