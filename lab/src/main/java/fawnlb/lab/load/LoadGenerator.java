package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.lab.load.ArrivalPlan.Turn;
import fawnlb.lab.rules.RuleChecker;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.xnio.XnioIoThread;

/**
 * Open-loop load: each turn of an {@link ArrivalPlan} is sent when it is due, whatever has become of the others.
 * Clients choose a node at random and retry up to three times, after a delay of their own or the response's
 * Retry-After. Everything runs on one I/O thread; {@link #start} is to be called on it.
 */
public final class LoadGenerator {
    /** Every third session is non-idempotent if such requests are included. */
    private static final int NON_IDEMPOTENT_INTERVAL = 3;

    private final Timers timers;
    private final RuleChecker rules;
    private final List<NodeConnections> nodes;
    private final Random nodeChoice;
    private final LoadStatistics statistics;
    private long startedAt;
    private long deadlineGraceNanos;
    private boolean withNonIdempotentRequests;
    private long lastRequestId;

    /**
     * Creates a generator that has not started.
     *
     * @param nodes addresses of the nodes by the names under which the rules know them
     * @param seconds seconds that the statistics tell apart
     * @param seed of the choice of nodes
     */
    public LoadGenerator(
            XnioIoThread thread,
            Timers timers,
            RuleChecker rules,
            Map<String, InetSocketAddress> nodes,
            int seconds,
            long seed) {
        this.timers = timers;
        this.rules = rules;
        this.nodes = nodes.entrySet().stream()
                .map(node -> new NodeConnections(thread, timers, node.getKey(), node.getValue()))
                .toList();
        this.statistics = new LoadStatistics(seconds);
        this.nodeChoice = new Random(seed);
    }

    /**
     * Lets clients wait for this time beyond their deadline, and report a violation if the response has not begun by
     * then.
     */
    public void setDeadlineGrace(long graceNanos) {
        deadlineGraceNanos = graceNanos;
    }

    /** Sends the requests of every third session with the class whose requests must not run twice. */
    public void includeNonIdempotentRequests() {
        withNonIdempotentRequests = true;
    }

    /** Sends each turn at its time, counted from now. */
    public void start(List<Turn> turns) {
        startedAt = timers.now();
        scheduleTurn(turns, 0);
    }

    private void scheduleTurn(List<Turn> turns, int index) {
        if (index < turns.size()) {
            Turn turn = turns.get(index);
            timers.schedule(startedAt + turn.startNanos() - timers.now(), () -> {
                new TurnExecution(this, turn).beginAttempt();
                scheduleTurn(turns, index + 1);
            });
        }
    }

    /** Returns what has become of the turns so far. */
    public LoadStatistics statistics() {
        return statistics;
    }

    // ---- For the attempts -----------------------------------------------------------------------------

    RuleChecker rules() {
        return rules;
    }

    long now() {
        return timers.now();
    }

    Timers.Timer schedule(long delayNanos, Runnable task) {
        return timers.schedule(delayNanos, task);
    }

    long startedAt() {
        return startedAt;
    }

    long deadlineGraceNanos() {
        return deadlineGraceNanos;
    }

    String nextRequestId() {
        return String.format("%016x", ++lastRequestId);
    }

    boolean isNonIdempotent(Turn turn) {
        return withNonIdempotentRequests && turn.session() % NON_IDEMPOTENT_INTERVAL == 0;
    }

    NodeConnections drawNode() {
        return nodes.get(nodeChoice.nextInt(nodes.size()));
    }

    NodeConnections nextNode(NodeConnections node) {
        return nodes.get((nodes.indexOf(node) + 1) % nodes.size());
    }
}
