package fawnlb.lab.soak;

import fawnlb.decision.EndpointPhase;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.net.Fault;
import fawnlb.lab.testbed.EmulatedEndpoints;
import fawnlb.lab.testbed.IoTask;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;

/** Faults of backends and of the discovery service. Methods last as long as their faults. Thread-safe. */
final class BackendFaults {
    private static final double SLOWDOWN = 0.3;
    /** Time that a draining backend has beside the duration of its fault; longer than the drain's grace period. */
    private static final int DRAIN_MILLIS = 2000;
    /** Time from the removal of a backend to the listing of the one that replaces it. */
    private static final int REPLACEMENT_DELAY_MILLIS = 300;
    /** Numbers of the ids of replaced backends begin here, above those of the first ones. */
    private static final int FIRST_REPLACEMENT_NUMBER = 1000;
    /** A third of the responses has a fault, within the first bytes. */
    private static final int CORRUPTION_INTERVAL = 3;

    private static final List<Fault.Kind> CORRUPTION_KINDS = kinds(kind -> !kind.concernsProgress());

    private static final int PROGRESS_FAULT_INTERVAL = 16;
    private static final List<Fault.Kind> PROGRESS_KINDS = kinds(Fault.Kind::concernsProgress);

    private static final int MAX_FAULT_OFFSET = 900;
    private static final long FAULT_PAUSE_NANOS = 50_000_000;

    private final Testbed testbed;
    private final ExclusiveTargets targets;
    private final AtomicInteger nextReplacementNumber;
    private final Object discoveryLock = new Object();

    BackendFaults(Testbed testbed, ExclusiveTargets targets) {
        this.testbed = testbed;
        this.targets = targets;
        this.nextReplacementNumber =
                new AtomicInteger(FIRST_REPLACEMENT_NUMBER + testbed.backends().size());
    }

    private static List<Fault.Kind> kinds(Predicate<Fault.Kind> selected) {
        return Arrays.stream(Fault.Kind.values()).filter(selected).toList();
    }

    /** Ends a backend's process and restarts it. */
    void crash(EngineServer backend, int durationMillis) throws IOException, InterruptedException {
        stopAndRestart(backend, backend::crash, durationMillis);
    }

    /** Cuts a backend off the network and restarts it. */
    void makeUnreachable(EngineServer backend, int durationMillis) throws IOException, InterruptedException {
        stopAndRestart(backend, backend::becomeUnreachable, durationMillis);
    }

    private void stopAndRestart(EngineServer backend, IoTask stop, int durationMillis)
            throws IOException, InterruptedException {
        targets.runExclusively(backend, target -> {
            testbed.runOnBackends(stop);
            TimeUnit.MILLISECONDS.sleep(durationMillis);
            testbed.runOnBackends(() -> {
                target.restart();
                announce(target, EndpointPhase.READY);
            });
        });
    }

    /** Drains a backend, removes it from the endpoint list, and lists another one at its address. */
    void replace(EngineServer backend, int durationMillis) throws IOException, InterruptedException {
        targets.runExclusively(backend, target -> {
            testbed.runOnBackends(() -> announce(target, EndpointPhase.DRAINING));
            TimeUnit.MILLISECONDS.sleep(durationMillis + DRAIN_MILLIS);
            testbed.runOnBackends(() -> {
                announce(target, EndpointPhase.GONE);
                target.replace(EmulatedEndpoints.id(nextReplacementNumber.getAndIncrement()));
                target.restart();
            });
            TimeUnit.MILLISECONDS.sleep(REPLACEMENT_DELAY_MILLIS);
            testbed.runOnBackends(() -> announce(target, EndpointPhase.READY));
        });
    }

    /** Lists the backend as one that has started now; to be called on the backends' thread. */
    private void announce(EngineServer backend, EndpointPhase phase) {
        testbed.discovery().applyChanges(EmulatedEndpoints.of(backend, phase, System.currentTimeMillis()));
    }

    /** Changes the duration of a backend's steps. */
    void slowDown(EngineServer backend, int durationMillis) throws IOException, InterruptedException {
        testbed.runOnBackends(() -> backend.setSlowdown(SLOWDOWN));
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        testbed.runOnBackends(() -> backend.setSlowdown(1));
    }

    /** Injects faults into a part of a backend's responses, which request id and selector determine. */
    void corruptResponses(EngineServer backend, int selector, int durationMillis)
            throws IOException, InterruptedException {
        selectFaults(
                List.of(backend), requestId -> selectFault(requestId, selector, CORRUPTION_INTERVAL, CORRUPTION_KINDS));
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        selectFaults(List.of(backend), BackendFaults::selectProgressFault);
    }

    /** Lets some responses of all backends go on without an event, or write one slowly, for the rest of the run. */
    void injectProgressFaults() throws IOException, InterruptedException {
        selectFaults(testbed.backends(), BackendFaults::selectProgressFault);
    }

    private static Fault selectProgressFault(String requestId) {
        return selectFault(requestId, 0, PROGRESS_FAULT_INTERVAL, PROGRESS_KINDS);
    }

    private static Fault selectFault(String requestId, int selector, int interval, List<Fault.Kind> kinds) {
        int hash = requestId.hashCode();
        if (Math.floorMod(hash + selector, interval) != 0) {
            return null;
        }
        Fault.Kind kind = kinds.get(Math.floorMod(hash / interval + selector, kinds.size()));
        return new Fault(kind, Math.floorMod(hash, MAX_FAULT_OFFSET), FAULT_PAUSE_NANOS);
    }

    private void selectFaults(List<EngineServer> backends, Function<String, Fault> selector)
            throws IOException, InterruptedException {
        testbed.runOnBackends(() -> backends.forEach(backend -> backend.injectFaults(selector)));
    }

    /** Takes discovery down for a time; outages follow each other. */
    void interruptDiscovery(int durationMillis) throws IOException, InterruptedException {
        synchronized (discoveryLock) {
            testbed.runOnBackends(() -> testbed.discovery().stopServing());
            TimeUnit.MILLISECONDS.sleep(durationMillis);
            testbed.runOnBackends(() -> testbed.discovery().resumeServing());
        }
    }
}
