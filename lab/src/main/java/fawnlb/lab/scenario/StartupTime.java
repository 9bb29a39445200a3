package fawnlb.lab.scenario;

import fawnlb.lab.node.NodeConfiguration;
import fawnlb.lab.node.NodeFailedException;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.testbed.Directories;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Time from the start of a node's process to its first 200 at {@code /health/ready} on half a core: the process is
 * bound to one core and stopped for every other ten milliseconds. Measured with the class archive and without, in turn.
 */
public final class StartupTime implements Scenario {
    private static final double MAX_MEDIAN_SECONDS = 0.8;
    private static final int READY_TIMEOUT_SECONDS = 20;
    private static final int READY_POLL_MILLIS = 3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=\\S+ ";
    /** An address at which no discovery service answers. */
    private static final InetSocketAddress NO_DISCOVERY = new InetSocketAddress("127.0.0.1", 1);

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        int runs = length.choose(9, 3);
        String archiveCommand = "taskset -c 0 " + NodeProcess.readRunCommand().replaceFirst("^(.*?)exec ", "");
        String plainCommand = archiveCommand.replaceFirst(ARCHIVE_OPTION, "-Xshare:auto ");
        PairedRuns<Double> seconds =
                PairedRuns.measure(runs, pair -> measureStart(archiveCommand), pair -> measureStart(plainCommand));
        double withArchive = Medians.median(seconds.first(), Double::doubleValue);
        double without = Medians.median(seconds.second(), Double::doubleValue);
        ScenarioReport report = new ScenarioReport();
        report.addCheck(
                "start to ready with the archive, median of " + runs,
                String.format("%.2f s", withArchive),
                "under " + MAX_MEDIAN_SECONDS + " s",
                withArchive < MAX_MEDIAN_SECONDS);
        report.addMeasurement("start to ready without it, median of " + runs, String.format("%.2f s", without));
        return report;
    }

    /** Starts a node by this command, and returns the seconds to its readiness. */
    private static double measureStart(String command) throws IOException, InterruptedException {
        Path directory = Directories.createTemporary();
        Process throttler = null;
        long startedAt = System.nanoTime();
        try (NodeProcess node = new NodeProcess("n0", directory)) {
            node.start(
                    "exec " + command, new NodeConfiguration(0, 1, NO_DISCOVERY, List.of("a"), List.of("k")), Map.of());
            throttler = startThrottler(node);
            awaitReadiness(node, startedAt);
            return (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
        } finally {
            if (throttler != null) {
                throttler.destroyForcibly();
            }
            Directories.deleteRecursively(directory);
        }
    }

    /** Starts a shell that stops the node for every other ten milliseconds until the node ends. */
    private static Process startThrottler(NodeProcess node) throws IOException {
        String loop = "while kill -STOP " + node.pid() + " 2>/dev/null; do sleep 0.01; kill -CONT " + node.pid()
                + "; sleep 0.01; done";
        return new ProcessBuilder("/bin/sh", "-c", loop).start();
    }

    private static void awaitReadiness(NodeProcess node, long startedAt) throws IOException, InterruptedException {
        while (!node.isReady()) {
            if (!node.isAlive()) {
                throw NodeFailedException.ended(node);
            }
            if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS)) {
                throw NodeFailedException.notReady(node);
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }
}
