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
public final class StartTime implements Scenario {
    private static final double AIM = 0.8;
    private static final int TIMEOUT = 20;
    private static final String ARCHIVE = "-XX:SharedArchiveFile=\\S+ ";

    @Override
    public String name() {
        return "start-time";
    }

    @Override
    public String purpose() {
        return "process start to readiness on half a core, with the archive of classes and without, in turn";
    }

    @Override
    public Verdict play(long seed, boolean quick) throws Exception {
        int runs = quick ? 3 : 9;
        String with = "taskset -c 0 " + NodeProcess.runLine().replaceFirst("^(.*?)exec ", "");
        String without = with.replaceFirst(ARCHIVE, "-Xshare:auto ");
        List<Double> archived = new ArrayList<>();
        List<Double> plain = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            archived.add(once(with));
            plain.add(once(without));
            System.err.printf("%d of %d pairs%n", i + 1, runs);
        }
        Verdict verdict = new Verdict();
        verdict.claim(
                "start to ready with the archive, median of " + runs,
                String.format("%.2f s", median(archived)),
                "under " + AIM + " s",
                median(archived) < AIM);
        verdict.figure("start to ready without it, median of " + runs, String.format("%.2f s", median(plain)));
        return verdict;
    }

    private static double median(List<Double> values) {
        return StatUtils.percentile(values.stream().mapToDouble(v -> v).toArray(), 50);
    }

    private static double once(String command) throws Exception {
        Path folder = Files.createTempDirectory("fawnlb-lab");
        Process halver = null;
        long began = System.nanoTime();
        try (NodeProcess node = new NodeProcess("n0", folder)) {
            node.start(
                    "exec " + command,
                    new NodeProcess.Setting(0, 1, new InetSocketAddress("127.0.0.1", 1), List.of("a"), List.of("k")),
                    Map.of());
            halver = new ProcessBuilder(
                            "/bin/sh",
                            "-c",
                            "while kill -STOP " + node.pid() + " 2>/dev/null; do sleep 0.01; kill -CONT " + node.pid()
                                    + "; sleep 0.01; done")
                    .start();
            while (!node.isReady()) {
                if (System.nanoTime() - began > TimeUnit.SECONDS.toNanos(TIMEOUT) || !node.isAlive()) {
                    throw new IllegalStateException("the node did not start:\n" + node.log());
                }
                TimeUnit.MILLISECONDS.sleep(3);
            }
            return (System.nanoTime() - began) / 1e9;
        } finally {
            if (halver != null) {
                halver.destroyForcibly();
            }
            Folders.delete(folder);
        }
    }
}
