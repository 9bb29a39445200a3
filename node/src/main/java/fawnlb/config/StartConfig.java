package fawnlb.config;

import fawnlb.decision.Balancer.Settings;
import fawnlb.probation.Probation;
import fawnlb.snapshot.Recorder;
import java.nio.file.Path;

/**
 * The operators' file for starts without discovery. {@code snapshot}: where the list is kept, null if nowhere;
 * {@code oldest}: what was last heard of longer ago, in nanoseconds, is not started from; {@code believed}: the list is
 * believed as it stands, without probation.
 */
public record StartConfig(Path snapshot, Recorder.Pace pace, long oldest, boolean believed, Probation.Rules probation) {
    private static final long MS = 1_000_000;
    private static final long DAY_MS = 86_400_000;

    /** What holds without a file: nothing is kept, and the configuration's own list is on probation. */
    public static StartConfig none(Settings settings) {
        return new StartConfig(
                null,
                new Recorder.Pace(0, 0),
                7 * DAY_MS * MS,
                false,
                rules(settings, 3_600_000, 3, settings.rules().cold() / MS, 8, 3, 1000, 16_000, 0));
    }

    public static StartConfig read(Path file, Settings settings) throws NodeConfig.Bad {
        OperatorFile in = new OperatorFile(file);
        String path = in.value("snapshot.file");
        Recorder.Pace pace = new Recorder.Pace(
                in.number("snapshot.least-interval-ms", 1000, 100, DAY_MS) * MS,
                in.number("snapshot.refresh-ms", 30_000, 100, DAY_MS) * MS);
        long oldest = in.number("snapshot.oldest-ms", 7 * DAY_MS, 1, 3650 * DAY_MS) * MS;
        Probation.Rules rules = rules(
                settings,
                in.number("probation.half-life-ms", 3_600_000, 1, 3650 * DAY_MS),
                (int) in.number("probation.proofs", 3, 1, 1000),
                in.number("probation.settle-ms", settings.rules().cold() / MS, 0, DAY_MS),
                (int) in.number("probation.waiting", 8, 1, 10_000),
                (int) in.number("probation.at-once", 3, 1, 10_000),
                in.number("probation.doubt-ms", 1000, 1, DAY_MS),
                in.number("probation.longest-doubt-ms", 16_000, 1, DAY_MS),
                in.number("empty-list.hold-ms", 0, 0, DAY_MS));
        if (rules.longestDoubt() < rules.doubt()) {
            throw in.bad("probation.longest-doubt-ms", "shorter than probation.doubt-ms");
        }
        boolean believed = !in.truth("probation.on", true);
        in.nothingElse();
        return new StartConfig(path == null ? null : Path.of(path), pace, oldest, believed, rules);
    }

    private static Probation.Rules rules(
            Settings settings,
            long halfLife,
            int proofs,
            long settle,
            int waiting,
            int atOnce,
            long doubt,
            long longestDoubt,
            long hold) {
        return new Probation.Rules(
                halfLife * MS,
                proofs,
                settle * MS,
                waiting,
                settings.routers(),
                atOnce,
                doubt * MS,
                longestDoubt * MS,
                hold * MS);
    }
}
