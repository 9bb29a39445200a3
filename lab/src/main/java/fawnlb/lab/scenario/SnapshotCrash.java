package fawnlb.lab.scenario;

import fawnlb.lab.testbed.Directories;
import fawnlb.lab.testbed.Tasks;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Kills a process that writes snapshots without pause, at moments drawn from the seed. Each kill must leave a readable
 * generation that is not older than the last revision that the process had reported as written.
 */
public final class SnapshotCrash implements Scenario {
    private static final int PARALLEL_RUNS = 6;
    /** Writing takes a few milliseconds; kills come at any moment within several writes. */
    private static final int MAX_KILL_DELAY_MICROS = 40_000;

    private static final long START_POLL_MILLIS = 1;
    /** Age of snapshots does not matter here. */
    private static final long UNLIMITED_AGE = Long.MAX_VALUE / 2;

    /**
     * Results of some kills.
     *
     * @param unreadable kills that left no readable generation
     * @param lostRevisions kills after which the readable generation was older than one reported as written
     * @param damaged kills that left a damaged generation beside a readable one
     */
    private record CrashCounts(int kills, int unreadable, int lostRevisions, int damaged) {
        static final CrashCounts NONE = new CrashCounts(0, 0, 0, 0);

        CrashCounts plus(CrashCounts other) {
            return new CrashCounts(
                    kills + other.kills,
                    unreadable + other.unreadable,
                    lostRevisions + other.lostRevisions,
                    damaged + other.damaged);
        }
    }

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        int kills = length.choose(500, 60);
        List<Callable<CrashCounts>> runs = new ArrayList<>();
        for (int run = 0; run < PARALLEL_RUNS; run++) {
            int runKills = kills / PARALLEL_RUNS + (run < kills % PARALLEL_RUNS ? 1 : 0);
            long runSeed = seed * PARALLEL_RUNS + run;
            runs.add(() -> killRepeatedly(runKills, new Well19937c(runSeed)));
        }
        List<CrashCounts> counts = Tasks.runInParallel(
                PARALLEL_RUNS, runs, done -> System.err.printf("%d of %d processes%n", done, PARALLEL_RUNS));
        return createReport(kills, counts.stream().reduce(CrashCounts.NONE, CrashCounts::plus));
    }

    private static ScenarioReport createReport(int kills, CrashCounts total) {
        ScenarioReport report = new ScenarioReport();
        report.addCheck("kills", Integer.toString(total.kills()), Integer.toString(kills), total.kills() == kills);
        report.addZeroCheck("kills that left no readable generation", total.unreadable());
        report.addZeroCheck("kills that lost what had been reported as written", total.lostRevisions());
        report.addMeasurement("kills that left a damaged generation", Integer.toString(total.damaged()));
        return report;
    }

    private static CrashCounts killRepeatedly(int kills, RandomGenerator random)
            throws IOException, InterruptedException {
        Path directory = Directories.createTemporary();
        Path file = directory.resolve("list");
        CrashCounts counts = CrashCounts.NONE;
        try {
            long revision = 1;
            while (counts.kills() < kills) {
                long reportedRevision = killWriter(file, revision, random);
                counts = counts.plus(inspect(file, reportedRevision));
                revision = reportedRevision + 2;
            }
        } finally {
            Directories.deleteRecursively(directory);
        }
        return counts;
    }

    private static CrashCounts inspect(Path file, long reportedRevision) {
        SnapshotStore.ReadResult found = new SnapshotStore(file).read(UNLIMITED_AGE, 0);
        Snapshot snapshot = found.snapshot();
        boolean lost = snapshot != null && snapshot.revision() < reportedRevision;
        return new CrashCounts(
                1, snapshot == null ? 1 : 0, lost ? 1 : 0, found.faults().isEmpty() ? 0 : 1);
    }

    /** Starts and kills a writer, and returns the last revision that it had reported as written. */
    private static long killWriter(Path file, long revision, RandomGenerator random)
            throws IOException, InterruptedException {
        Path reported = file.resolveSibling("said");
        Files.deleteIfExists(reported);
        Process writer = startWriter(file, revision, reported);
        try {
            while (Files.size(reported) == 0 && writer.isAlive()) {
                TimeUnit.MILLISECONDS.sleep(START_POLL_MILLIS);
            }
            TimeUnit.MICROSECONDS.sleep(random.nextInt(MAX_KILL_DELAY_MICROS));
        } finally {
            writer.destroyForcibly().waitFor();
        }
        return readLastRevision(reported);
    }

    private static Process startWriter(Path file, long revision, Path reported) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xshare:auto",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        SnapshotWriterProcess.class.getName(),
                        file.toString(),
                        Long.toString(revision))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(reported.toFile())
                .start();
    }

    private static long readLastRevision(Path reported) throws IOException {
        String text = Files.readString(reported, StandardCharsets.US_ASCII);
        // The kill may have cut the last line; only those with an end count.
        List<String> lines =
                text.substring(0, text.lastIndexOf('\n') + 1).lines().toList();
        if (lines.isEmpty()) {
            throw new IOException("the writer wrote nothing");
        }
        return Long.parseLong(lines.get(lines.size() - 1));
    }
}
