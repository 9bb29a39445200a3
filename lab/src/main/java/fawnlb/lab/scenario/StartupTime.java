package fawnlb.lab.scenario;

import fawnlb.lab.node.NodeProcess;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.stat.StatUtils;

/**
 * From a node's process start to its first 200 at {@code /health/ready}, on half a core: the process is held to one
 * core and stopped for every other ten milliseconds. With the archive of classes and without, in turn.
 */
public final class StartupTime implements Scenario {
    private static final double MAX_MEDIAN_SECONDS = 0.8;
    private static final int READY_TIMEOUT_SECONDS = 20;
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=\\S+ ";

    @Override
    public String name() {
        return "start-time";
    }

    @Override
    public String purpose() {
        return "process start to readiness on half a core, with the archive of classes and without, in turn";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        int runs = quick ? 3 : 9;
        String archiveCommand = "taskset -c 0 " + NodeProcess.readRunCommand().replaceFirst("^(.*?)exec ", "");
        String plainCommand = archiveCommand.replaceFirst(ARCHIVE_OPTION, "-Xshare:auto ");
        List<Double> archived = new ArrayList<>();
        List<Double> plain = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            archived.add(measureStart(archiveCommand));
            plain.add(measureStart(plainCommand));
            System.err.printf("%d of %d pairs%n", i + 1, runs);
        }
        ScenarioReport report = new ScenarioReport();
        report.addCheck(
                "start to ready with the archive, median of " + runs,
                String.format("%.2f s", median(archived)),
                "under " + MAX_MEDIAN_SECONDS + " s",
                median(archived) < MAX_MEDIAN_SECONDS);
        report.addMeasurement("start to ready without it, median of " + runs, String.format("%.2f s", median(plain)));
        return report;
    }

    private static double median(List<Double> values) {
        return StatUtils.percentile(values.stream().mapToDouble(v -> v).toArray(), 50);
    }

    private static double measureStart(String command) throws Exception {
        Path directory = Files.createTempDirectory("fawnlb-lab");
        Process throttler = null;
        long startedAt = System.nanoTime();
        try (NodeProcess node = new NodeProcess("n0", directory)) {
            node.start(
                    "exec " + command,
                    new NodeProcess.NodeConfiguration(
                            0, 1, new InetSocketAddress("127.0.0.1", 1), List.of("a"), List.of("k")),
                    Map.of());
            throttler = new ProcessBuilder(
                            "/bin/sh",
                            "-c",
                            "while kill -STOP " + node.pid() + " 2>/dev/null; do sleep 0.01; kill -CONT " + node.pid()
                                    + "; sleep 0.01; done")
                    .start();
            while (!node.isReady()) {
                if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS)
                        || !node.isAlive()) {
                    throw new IllegalStateException("the node did not start:\n" + node.readLog());
                }
                TimeUnit.MILLISECONDS.sleep(3);
            }
            return (System.nanoTime() - startedAt) / 1e9;
        } finally {
            if (throttler != null) {
                throttler.destroyForcibly();
            }
            Directories.deleteRecursively(directory);
        }
    }
}
