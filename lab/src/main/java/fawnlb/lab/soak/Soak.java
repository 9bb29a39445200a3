package fawnlb.lab.soak;

import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.scenario.RunLength;
import fawnlb.lab.scenario.Scenario;
import fawnlb.lab.scenario.ScenarioReport;
import fawnlb.lab.testbed.Tasks;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Nodes in processes of their own under overlapping faults of nodes, system calls, backends, discovery and clients (see
 * {@link InjectedFault}), all drawn from the seed. What crossed the sockets is checked against the rules, and what the
 * nodes logged against their invariants.
 */
public final class Soak implements Scenario {
    private static final int BACKEND_COUNT = 18;
    private static final double REQUESTS_PER_SECOND_PER_NODE = 3;
    private static final long NOTIFICATION_DELAY_NANOS = 300_000_000;
    /** What clients wait beyond their deadlines before they report a violation. */
    private static final long DEADLINE_GRACE_NANOS = 500_000_000;
    /** Time between two faults: a minimum and what is drawn beyond it. */
    private static final int MIN_FAULT_INTERVAL_MILLIS = 150;

    private static final int SELECTOR_RANGE = 1 << 20;
    /** Every third seed has crowds of clients among its faults. */
    private static final int CROWD_INTERVAL = 3;

    /** Far more than the longest fault lasts. */
    private static final long FAULT_TIMEOUT_SECONDS = 120;

    private static final EngineProfile PROFILE =
            new EngineProfile(EngineProfile.FULL_RATE, 60, 60, 400_000, 2048, 8, 0.1, 25_000, 1, 2, 2);

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        RandomGenerator random = new Well19937c(seed);
        int nodeCount = length.choose(24, 5);
        int seconds = length.choose(60, 20);
        try (Testbed testbed = new Testbed()) {
            testbed.addBackends(BACKEND_COUNT, PROFILE, ApiFormat.CHAT);
            testbed.prepareNodes(nodeCount, NOTIFICATION_DELAY_NANOS);
            ExclusiveTargets targets = new ExclusiveTargets();
            SoakLog log = new SoakLog();
            NodeFaults nodeFaults = new NodeFaults(testbed, targets, log);
            nodeFaults.installShims();
            testbed.startNodes(Map.of());
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, REQUESTS_PER_SECOND_PER_NODE * nodeCount, seconds);
            LoadGenerator generator = testbed.createLoadGenerator(seconds, seed);
            generator.setDeadlineGrace(DEADLINE_GRACE_NANOS);
            generator.includeNonIdempotentRequests();
            log.start();
            SoakFaults faults = new SoakFaults(testbed, log, nodeFaults, targets);
            faults.start();
            testbed.runOnClients(() -> generator.start(turns));
            List<InjectedFault> kinds = faultKinds(seed);
            injectFaults(faults, kinds, log, random, length, seconds);
            nodeFaults.removeSystemCallFaults();
            Testbed.awaitCompletion(generator.statistics());
            nodeFaults.shutDownAll();
            return new SoakReport(testbed, log, nodeFaults).create(generator.statistics(), seed);
        }
    }

    private static List<InjectedFault> faultKinds(long seed) {
        return Arrays.stream(InjectedFault.values())
                .filter(fault -> !fault.isCrowd() || seed % CROWD_INTERVAL == 0)
                .toList();
    }

    /** Injects faults for this time, which overlap, and waits until all of them are over. */
    private static void injectFaults(
            SoakFaults faults,
            List<InjectedFault> kinds,
            SoakLog log,
            RandomGenerator random,
            RunLength length,
            int seconds)
            throws IOException, InterruptedException {
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            List<Future<?>> pendingFaults = new ArrayList<>();
            while (log.elapsedNanos() < TimeUnit.SECONDS.toNanos(seconds)) {
                InjectedFault fault = kinds.get(random.nextInt(kinds.size()));
                int selector = random.nextInt(SELECTOR_RANGE);
                pendingFaults.add(executor.submit(() -> {
                    faults.inject(fault, selector);
                    return null;
                }));
                TimeUnit.MILLISECONDS.sleep(MIN_FAULT_INTERVAL_MILLIS + random.nextInt(length.choose(250, 500)));
            }
            for (Future<?> fault : pendingFaults) {
                Tasks.await(fault, FAULT_TIMEOUT_SECONDS);
            }
        } finally {
            executor.shutdownNow();
        }
    }
}
