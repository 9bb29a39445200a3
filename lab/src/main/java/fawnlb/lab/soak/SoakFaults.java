package fawnlb.lab.soak;

import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.shim.FaultShim.Errno;
import fawnlb.lab.shim.FaultShim.SystemCall;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;

/**
 * Injects the faults of a soak. A number, the selector, determines where a fault is injected and its details, so that a
 * seed always gives the same faults. Thread-safe.
 */
final class SoakFaults {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_HOUR = 3600 * 1000 * NANOS_PER_MILLI;
    private static final int MIN_DURATION_MILLIS = 300;
    private static final int DURATION_RANGE_MILLIS = 2500;
    private static final int MAX_PAUSE_MILLIS = 150;
    private static final int MAX_CLOCK_STEP_MILLIS = 5000;
    private static final int MAX_FAILURE_INTERVAL = 3;
    private static final int MAX_TRANSFER_READ_BYTES = 40;
    private static final int MAX_TRANSFER_WRITE_BYTES = 30;
    private static final int MAX_PARTIAL_REQUEST_BYTES = 50;

    private final Testbed testbed;
    private final SoakLog log;
    private final NodeFaults nodeFaults;
    private final BackendFaults backendFaults;
    private final ClientFaults clientFaults;
    private final ClientCrowds crowds;

    SoakFaults(Testbed testbed, SoakLog log, NodeFaults nodeFaults, ExclusiveTargets targets) {
        this.testbed = testbed;
        this.log = log;
        this.nodeFaults = nodeFaults;
        this.backendFaults = new BackendFaults(testbed, targets);
        this.clientFaults = new ClientFaults(log);
        this.crowds = new ClientCrowds(testbed.rules());
    }

    /** Begins the faults that last for the whole run. */
    void start() throws IOException, InterruptedException {
        backendFaults.injectProgressFaults();
    }

    /** Injects a fault, and returns when it has been removed. */
    void inject(InjectedFault fault, int selector) throws IOException, InterruptedException {
        log.addFault(fault, selector);
        switch (fault) {
            case NODE_SHUTDOWN, NODE_KILL, NODE_RELOAD, NODE_PAUSE -> injectIntoProcess(fault, selector);
            case WALL_CLOCK_STEP,
                    ACCEPT_FAILURE,
                    CONNECT_FAILURE,
                    SOCKET_FAILURE,
                    SHORT_TRANSFERS,
                    WRITE_FAILURE,
                    READ_FAILURE -> injectIntoSystemCalls(fault, selector);
            case BACKEND_CRASH, BACKEND_UNREACHABLE, BACKEND_REPLACEMENT, BACKEND_SLOWDOWN, RESPONSE_CORRUPTION ->
                injectIntoBackend(fault, selector);
            case DISCOVERY_OUTAGE -> backendFaults.interruptDiscovery(durationMillis(selector));
            case PARTIAL_REQUESTS ->
                clientFaults.sendPartialRequests(node(selector), 1 + selector % MAX_PARTIAL_REQUEST_BYTES);
            case IDLE_CONNECTIONS -> clientFaults.openIdleConnections(node(selector));
            case IDLE_CROWD -> crowds.connectIdleClients(node(selector), durationMillis(selector));
            case SLOW_SENDER_CROWD -> crowds.sendHalfBodies(node(selector), durationMillis(selector));
            case SLOW_READER_CROWD -> crowds.requestUnreadAnswers(node(selector), durationMillis(selector));
        }
    }

    private void injectIntoProcess(InjectedFault fault, int selector) throws IOException, InterruptedException {
        int nodeIndex = nodeIndex(selector);
        switch (fault) {
            case NODE_SHUTDOWN -> nodeFaults.shutDownAndRestart(nodeIndex, selector);
            case NODE_KILL -> nodeFaults.killAndRestart(nodeIndex);
            case NODE_RELOAD -> nodeFaults.reload(nodeIndex);
            case NODE_PAUSE -> nodeFaults.pause(nodeIndex, selector % MAX_PAUSE_MILLIS);
            default -> throw new IllegalStateException(fault + " is no fault of a process");
        }
    }

    private void injectIntoSystemCalls(InjectedFault fault, int selector) throws InterruptedException {
        int nodeIndex = nodeIndex(selector);
        int durationMillis = durationMillis(selector);
        int interval = 1 + selector % MAX_FAILURE_INTERVAL;
        boolean even = selector % 2 == 0;
        switch (fault) {
            case WALL_CLOCK_STEP -> nodeFaults.stepWallClock(nodeIndex, clockOffsetNanos(selector));
            case ACCEPT_FAILURE -> {
                Errno error = even ? Errno.ENFILE : Errno.ENOBUFS;
                nodeFaults.failSystemCall(nodeIndex, SystemCall.ACCEPT, error, 1, durationMillis / 2);
            }
            case CONNECT_FAILURE -> {
                Errno error = even ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH;
                nodeFaults.failSystemCall(nodeIndex, SystemCall.CONNECT, error, interval, durationMillis);
            }
            case SOCKET_FAILURE ->
                nodeFaults.failSystemCall(nodeIndex, SystemCall.SOCKET, Errno.EMFILE, interval, durationMillis);
            case SHORT_TRANSFERS -> {
                int readBytes = 1 + selector % MAX_TRANSFER_READ_BYTES;
                int writeBytes = 1 + selector % MAX_TRANSFER_WRITE_BYTES;
                nodeFaults.limitTransfers(nodeIndex, readBytes, writeBytes, durationMillis);
            }
            case WRITE_FAILURE -> nodeFaults.failTransfers(nodeIndex, SystemCall.WRITE, Errno.EHOSTUNREACH);
            case READ_FAILURE -> nodeFaults.failTransfers(nodeIndex, SystemCall.READ, Errno.ETIMEDOUT);
            default -> throw new IllegalStateException(fault + " is no fault of a system call");
        }
    }

    private void injectIntoBackend(InjectedFault fault, int selector) throws IOException, InterruptedException {
        EngineServer backend =
                testbed.backends().get(selector % testbed.backends().size());
        int durationMillis = durationMillis(selector);
        switch (fault) {
            case BACKEND_CRASH -> backendFaults.crash(backend, durationMillis);
            case BACKEND_UNREACHABLE -> backendFaults.makeUnreachable(backend, durationMillis);
            case BACKEND_REPLACEMENT -> backendFaults.replace(backend, durationMillis);
            case BACKEND_SLOWDOWN -> backendFaults.slowDown(backend, durationMillis);
            case RESPONSE_CORRUPTION -> backendFaults.corruptResponses(backend, selector, durationMillis);
            default -> throw new IllegalStateException(fault + " is no fault of a backend");
        }
    }

    private int nodeIndex(int selector) {
        return selector % testbed.nodes().size();
    }

    private NodeProcess node(int selector) {
        return testbed.nodes().get(nodeIndex(selector));
    }

    private static int durationMillis(int selector) {
        return MIN_DURATION_MILLIS + selector % DURATION_RANGE_MILLIS;
    }

    private static long clockOffsetNanos(int selector) {
        long distance = selector % 3 == 0 ? NANOS_PER_HOUR : selector % MAX_CLOCK_STEP_MILLIS * NANOS_PER_MILLI;
        return selector % 2 == 0 ? distance : -distance;
    }
}
