package fawnlb.lab.soak;

import fawnlb.lab.load.PersistentClients;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.shim.FaultShim;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Faults of the nodes' processes and of their system calls. Methods last as long as their faults. Thread-safe. */
final class NodeFaults {
    /** A node is killed this long after its shutdown has begun: the longest deadline, counted as 3 s, and 0.7 s. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 3700;
    /** What a shutdown may take at the end of a run, when no more requests come. */
    private static final long LAST_SHUTDOWN_TIMEOUT_MILLIS = 30_000;

    private static final int PERSISTENT_CLIENTS = 6;
    private static final long SIGNAL_INTERVAL_MILLIS = 10;
    /** Exit status after SIGTERM: 128 and the number of the signal. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private static final long READY_TIMEOUT_MILLIS = 10_000;
    private static final long READY_POLL_MILLIS = 50;
    private static final long RESTART_DELAY_MILLIS = 200;
    /** Failing reads and writes: one call in 40, for 0.4 s, and the time until their effects are over. */
    private static final int FAILED_TRANSFER_INTERVAL = 40;

    private static final int FAILED_TRANSFERS_MILLIS = 400;
    private static final long FAILED_TRANSFERS_AFTERMATH_MILLIS = 100;

    private final Testbed testbed;
    private final ExclusiveTargets targets;
    private final SoakLog log;
    private final List<FaultShim> shims = new ArrayList<>();

    NodeFaults(Testbed testbed, ExclusiveTargets targets, SoakLog log) {
        this.testbed = testbed;
        this.targets = targets;
        this.log = log;
    }

    /** Prepares the nodes, which have not started, for faults of system calls if there is a C compiler. */
    void installShims() throws IOException, InterruptedException {
        if (!FaultShim.isAvailable()) {
            return;
        }
        Path library = FaultShim.compile(testbed.directory());
        for (NodeProcess node : testbed.nodes()) {
            FaultShim shim = FaultShim.create(library, testbed.directory().resolve(node.name() + ".faults"));
            node.setEnvironment(shim.environment());
            shims.add(shim);
        }
    }

    boolean hasShims() {
        return !shims.isEmpty();
    }

    /** Returns how many system calls of all nodes have failed. */
    long failedSystemCalls() {
        return shims.stream().mapToLong(FaultShim::failureCount).sum();
    }

    // ---- Processes ------------------------------------------------------------------------------------

    /**
     * Shuts a node down by signals, and starts it again. Clients send on the connections that they have until the node
     * has ended or is killed.
     */
    void shutDownAndRestart(int nodeIndex, int selector) throws IOException, InterruptedException {
        runOnNode(nodeIndex, node -> {
            recordPeakMemory(node);
            PersistentClients clients = testbed.createPersistentClients(node, log::countShutdownResponse);
            testbed.runOnClients(() -> clients.start(PERSISTENT_CLIENTS));
            TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
            long shutdownAt = sendSignals(node, SignalSeries.of(selector));
            awaitShutdownOrKill(node, shutdownAt);
            testbed.runOnClients(clients::stop);
            testbed.rules().onNodeRestarted(node.name());
            startAndAwaitReady(node, nodeIndex);
        });
    }

    private void recordPeakMemory(NodeProcess node) throws IOException {
        if (node.isAlive()) {
            log.recordPeakMemory(node.peakResidentBytes());
        } else {
            log.addFailure(node.name() + " had ended by itself");
        }
    }

    /** Returns when the shutdown has begun, on the clock of {@link System#nanoTime}. */
    private long sendSignals(NodeProcess node, List<String> signals) throws IOException, InterruptedException {
        long shutdownAt = 0;
        for (String signal : signals) {
            if (SignalSeries.isShutdown(signal) && shutdownAt == 0) {
                shutdownAt = System.nanoTime();
                testbed.rules().onShutdownStarted(testbed.now(), node.name());
            }
            node.sendSignal(signal);
            TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
        }
        return shutdownAt;
    }

    private void awaitShutdownOrKill(NodeProcess node, long shutdownAt) throws InterruptedException {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - shutdownAt);
        int status = node.awaitExit(SHUTDOWN_TIMEOUT_MILLIS - elapsedMillis);
        if (node.isAlive()) {
            log.countKill();
            testbed.rules().onKilledAtShutdown(node.name());
            node.close();
        } else if (status != SIGTERM_EXIT_STATUS) {
            log.addFailure(node.name() + " ended with status " + status + " at a planned shutdown");
        }
        // What the kernel has of the node's last answers is read by the clients.
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
    }

    /** Kills a node and starts it again. */
    void killAndRestart(int nodeIndex) throws IOException, InterruptedException {
        runOnNode(nodeIndex, node -> {
            recordPeakMemory(node);
            // What is written to its connections until clients learn of its end is waived too: nobody can have read it.
            testbed.rules().excuseNode(node.name());
            node.close();
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            testbed.rules().stopExcusingNode(node.name());
            testbed.rules().onNodeKilled(node.name());
            startAndAwaitReady(node, nodeIndex);
        });
    }

    private void startAndAwaitReady(NodeProcess node, int nodeIndex) throws IOException, InterruptedException {
        long startedAt = System.nanoTime();
        testbed.startNode(nodeIndex, Map.of());
        while (!node.isReady()) {
            if (System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS)) {
                log.addFailure(node.name() + " was not ready within " + READY_TIMEOUT_MILLIS + " ms");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    void reload(int nodeIndex) throws IOException, InterruptedException {
        runOnNode(nodeIndex, node -> node.sendSignal("HUP"));
    }

    /** Stops a node's process for this time. */
    void pause(int nodeIndex, int millis) throws IOException, InterruptedException {
        runOnNode(nodeIndex, node -> {
            node.sendSignal("STOP");
            TimeUnit.MILLISECONDS.sleep(millis);
            node.sendSignal("CONT");
        });
    }

    private void runOnNode(int nodeIndex, ExclusiveTargets.Operation<NodeProcess> operation)
            throws IOException, InterruptedException {
        targets.runExclusively(testbed.nodes().get(nodeIndex), operation);
    }

    /** Shuts all nodes down at the same time; each has to end as it should. */
    void shutDownAll() throws IOException, InterruptedException {
        for (NodeProcess node : testbed.nodes()) {
            recordPeakMemory(node);
            node.sendSignal("TERM");
        }
        for (NodeProcess node : testbed.nodes()) {
            int status = node.awaitExit(LAST_SHUTDOWN_TIMEOUT_MILLIS);
            if (status != SIGTERM_EXIT_STATUS) {
                log.addFailure(node.name() + " ended with status " + status);
            }
        }
    }

    // ---- System calls ---------------------------------------------------------------------------------

    private FaultShim shim(int nodeIndex) {
        return shims.isEmpty() ? FaultShim.none() : shims.get(nodeIndex);
    }

    /** Steps a node's wall clock to this distance from the machine's, for good. */
    void stepWallClock(int nodeIndex, long offsetNanos) {
        shim(nodeIndex).stepWallClock(offsetNanos);
    }

    /** Lets one in {@code interval} of these calls fail for a time. */
    void failSystemCall(
            int nodeIndex, FaultShim.SystemCall call, FaultShim.Errno error, int interval, int durationMillis)
            throws InterruptedException {
        shim(nodeIndex).fail(call, error, interval);
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        shim(nodeIndex).heal(call);
    }

    /**
     * Lets some reads or writes fail for a time. The node believes that connections are gone which are not, so that its
     * requests are excused meanwhile.
     */
    void failTransfers(int nodeIndex, FaultShim.SystemCall call, FaultShim.Errno error) throws InterruptedException {
        String name = testbed.nodes().get(nodeIndex).name();
        testbed.rules().excuseNode(name);
        failSystemCall(nodeIndex, call, error, FAILED_TRANSFER_INTERVAL, FAILED_TRANSFERS_MILLIS);
        TimeUnit.MILLISECONDS.sleep(FAILED_TRANSFERS_AFTERMATH_MILLIS);
        testbed.rules().stopExcusingNode(name);
    }

    /** Limits how many bytes a node reads and writes at a time. */
    void limitTransfers(int nodeIndex, int maxReadBytes, int maxWriteBytes, int durationMillis)
            throws InterruptedException {
        shim(nodeIndex).limitTransfers(maxReadBytes, maxWriteBytes);
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        shim(nodeIndex).removeTransferLimits();
    }

    /** Removes all faults of system calls; wall clocks stay as they are. */
    void removeSystemCallFaults() {
        for (FaultShim shim : shims) {
            for (FaultShim.SystemCall call : FaultShim.SystemCall.values()) {
                shim.heal(call);
            }
            shim.removeTransferLimits();
        }
    }
}
