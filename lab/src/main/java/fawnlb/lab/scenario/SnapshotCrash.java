package fawnlb.lab.scenario;

import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** A process that writes snapshots without pause is killed outright at moments drawn from the seed. */
public final class SnapshotCrash implements Scenario {
    private static final int PARALLEL_RUNS = 6;
    /** A writing takes a few milliseconds; kills fall anywhere within several of them. */
    private static final int MAX_KILL_DELAY_MICROS = 40_000;

    /**
     * One lane's kills: none readable after it, older than what was said to be on disk, with one generation damaged.
     */
    private record CrashCounts(int kills, int unreadable, int lostRevisions, int damaged) {
        CrashCounts plus(CrashCounts other) {
            return new CrashCounts(
                    kills + other.kills,
                    unreadable + other.unreadable,
                    lostRevisions + other.lostRevisions,
                    damaged + other.damaged);
        }
    }

    @Override
    public String name() {
        return "snapshot-crash";
    }

    @Override
    public String purpose() {
        return "500 kills of a process that writes snapshots: a readable generation stands after each";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        int kills = quick ? 60 : 500;
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
        List<Future<CrashCounts>> futures = new ArrayList<>();
        for (int run = 0; run < PARALLEL_RUNS; run++) {
            int runKills = kills / PARALLEL_RUNS + (run < kills % PARALLEL_RUNS ? 1 : 0);
            long runSeed = seed * PARALLEL_RUNS + run;
            futures.add(executor.submit(() -> killRepeatedly(runKills, new Well19937c(runSeed))));
        }
        executor.shutdown();
        CrashCounts total = new CrashCounts(0, 0, 0, 0);
        for (Future<CrashCounts> future : futures) {
            total = total.plus(future.get());
            System.err.println(total.kills() + " of " + kills + " kills");
        }
        ScenarioReport report = new ScenarioReport();
        report.addCheck("kills", Integer.toString(total.kills()), Integer.toString(kills), total.kills() == kills);
        report.addCheck(
                "kills that left no readable generation",
                Integer.toString(total.unreadable()),
                "0",
                total.unreadable() == 0);
        report.addCheck(
                "kills that lost what had been said to be written",
                Integer.toString(total.lostRevisions()),
                "0",
                total.lostRevisions() == 0);
        report.addMeasurement("kills that left a generation damaged", Integer.toString(total.damaged()));
        return report;
    }

    private static CrashCounts killRepeatedly(int kills, RandomGenerator random) throws Exception {
        Path directory = Files.createTempDirectory("fawnlb-lab");
        Path file = directory.resolve("list");
        CrashCounts counts = new CrashCounts(0, 0, 0, 0);
        try {
            for (long revision = 1; counts.kills() < kills; ) {
                long reportedRevision = killWriter(file, revision, random);
                SnapshotStore.ReadResult found = new SnapshotStore(file).read(Long.MAX_VALUE / 2, 0);
                Snapshot snapshot = found.snapshot();
                counts = counts.plus(new CrashCounts(
                        1,
                        snapshot == null ? 1 : 0,
                        snapshot != null && snapshot.revision() < reportedRevision ? 1 : 0,
                        found.faults().isEmpty() ? 0 : 1));
                revision = reportedRevision + 2;
            }
        } finally {
            Directories.deleteRecursively(directory);
        }
        return counts;
    }

    /** The last revision that the killed process had said to be on disk. */
    private static long killWriter(Path file, long revision, RandomGenerator random)
            throws IOException, InterruptedException {
        Path reported = file.resolveSibling("said");
        Files.deleteIfExists(reported);
        Process writer = new ProcessBuilder(
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
        try {
            while (Files.size(reported) == 0 && writer.isAlive()) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            TimeUnit.MICROSECONDS.sleep(random.nextInt(MAX_KILL_DELAY_MICROS));
        } finally {
            writer.destroyForcibly().waitFor();
        }
        // The last line may have been cut by the kill; what stands before it was said in full.
        String text = Files.readString(reported, StandardCharsets.US_ASCII);
        List<String> lines =
                text.substring(0, text.lastIndexOf('\n') + 1).lines().toList();
        if (lines.isEmpty()) {
            throw new IOException("the writer wrote nothing");
        }
        return Long.parseLong(lines.get(lines.size() - 1));
    }
}
