package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.lab.load.ArrivalPlan.Turn;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;
import org.HdrHistogram.Histogram;
import org.xnio.XnioIoThread;

/**
 * The clients of a run: an open loop that asks every turn when it is due, whatever has become of the others. Clients
 * try again up to three times, at once, after a fixed wait, or when the answer says. All runs on one I/O thread.
 */
public final class LoadGenerator {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final int MAX_RETRIES = 3;
    private static final long CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND;
    /** A front layer tries the next node so soon when one refuses the connection. */
    private static final long FAILOVER_DELAY_NANOS = 50 * NANOS_PER_MILLI;

    private static final long FIRST_TOKEN_OBJECTIVE_NANOS = 1500 * NANOS_PER_MILLI;
    private static final double FIRST_TOKEN_OBJECTIVE_NANOS_PER_PROMPT_TOKEN = 0.06 * NANOS_PER_MILLI;

    /** How a turn ended, all its tries taken together. */
    public enum TurnOutcome {
        IN_TIME,
        LATE,
        BROKEN,
        REJECTED,
        FAILED,
        TIMED_OUT
    }

    private final XnioIoThread thread;
    private final Timers timers;
    private final RuleChecker rules;
    private final List<NodeConnections> nodes;
    private final Random nodeChoice;
    private final int[][] outcomesBySecond;
    private final Histogram firstEventMicros = new Histogram(60_000_000, 3);
    private final Histogram eventGapMicros = new Histogram(60_000_000, 3);
    private long startedAt;
    private long firstEventNanos = -1;
    private long deadlineGraceNanos;
    private boolean withNonIdempotentRequests;
    private int openTurns;
    private int attemptCount;
    private long lastRequestId;

    /** A node as clients see it. */
    private static final class NodeConnections {
        final String name;
        final InetSocketAddress address;
        final Deque<HttpClientConnection> idle = new ArrayDeque<>();

        NodeConnections(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }
    }

    public LoadGenerator(
            XnioIoThread thread,
            Timers timers,
            RuleChecker rules,
            Map<String, InetSocketAddress> nodes,
            int seconds,
            long seed) {
        this.thread = thread;
        this.timers = timers;
        this.rules = rules;
        this.nodes = nodes.entrySet().stream()
                .map(node -> new NodeConnections(node.getKey(), node.getValue()))
                .toList();
        this.outcomesBySecond = new int[seconds + 1][TurnOutcome.values().length];
        this.nodeChoice = new Random(seed);
    }

    /**
     * Clients wait for so many nanoseconds beyond their deadline, and hold it against the node if no answer has begun
     * by then.
     */
    public void setDeadlineGrace(long graceNanos) {
        deadlineGraceNanos = graceNanos;
    }

    /** Every third session's requests are of the class that may run once alone. */
    public void includeNonIdempotentRequests() {
        withNonIdempotentRequests = true;
    }

    /** Asks every turn at its time, counted from now. */
    public void start(List<Turn> turns) {
        startedAt = timers.now();
        scheduleTurn(turns, 0);
    }

    private void scheduleTurn(List<Turn> turns, int index) {
        if (index < turns.size()) {
            timers.schedule(startedAt + turns.get(index).startNanos() - timers.now(), () -> {
                new TurnExecution(turns.get(index)).beginAttempt();
                scheduleTurn(turns, index + 1);
            });
        }
    }

    // ---- What came of it; read after the run, or from the I/O thread ----------------------------------

    /** Turns by the second in which they were first asked, and by their end. */
    public int[][] outcomesBySecond() {
        return outcomesBySecond;
    }

    /** Turns that have not ended. */
    public int openTurns() {
        return openTurns;
    }

    /** Tries of all turns together. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Nanoseconds from the start until the first event of an answer reached a client, -1 if none did. */
    public long firstEventNanos() {
        return firstEventNanos;
    }

    /** Microseconds from a turn's first try to its first event. */
    public Histogram firstEventMicros() {
        return firstEventMicros;
    }

    /** Microseconds between two pieces of one answer. */
    public Histogram eventGapMicros() {
        return eventGapMicros;
    }

    /** One turn and its tries. */
    private final class TurnExecution {
        private final Turn turn;
        private final long firstAttemptAt = timers.now();
        private int retries;

        TurnExecution(Turn turn) {
            this.turn = turn;
            openTurns++;
        }

        void beginAttempt() {
            attemptCount++;
            new ClientAttempt(this).connect(nodeChoice.nextInt(nodes.size()));
        }

        void finish(TurnOutcome outcome) {
            openTurns--;
            outcomesBySecond[
                    (int) Math.min(outcomesBySecond.length - 1, (firstAttemptAt - startedAt) / NANOS_PER_SECOND)][
                    outcome.ordinal()]++;
        }

        void retryOrFinish(TurnOutcome outcome, long delayNanos) {
            if (retries++ < MAX_RETRIES) {
                timers.schedule(delayNanos, this::beginAttempt);
            } else {
                finish(outcome);
            }
        }

        long timeoutNanos() {
            return turn.timeoutMillis() * NANOS_PER_MILLI;
        }

        long retryDelayNanos() {
            return turn.retryDelayMillis() * NANOS_PER_MILLI;
        }
    }

    /** One request. */
    private final class ClientAttempt implements HttpClientConnection.ResponseHandler {
        private final TurnExecution execution;
        private final String requestId = String.format("%016x", ++lastRequestId);
        private final long deadlineAt;
        private final CRC32C checksum = new CRC32C();
        private final StringBuilder bodyTail = new StringBuilder();
        private NodeConnections node;
        private HttpClientConnection connection;
        private boolean reused;
        private Timers.Timer deadlineTimer;
        private int status;
        private String retryAfter = "";
        private long firstEventAt = -1;
        private long lastEventAt = -1;
        private boolean finished;

        ClientAttempt(TurnExecution execution) {
            this.execution = execution;
            this.deadlineAt = timers.now() + execution.timeoutNanos();
        }

        void connect(int nodeIndex) {
            if (timers.now() >= deadlineAt) {
                execution.retryOrFinish(TurnOutcome.TIMED_OUT, execution.retryDelayNanos());
                return;
            }
            node = nodes.get(nodeIndex);
            connection = null;
            while (connection == null && !node.idle.isEmpty()) {
                HttpClientConnection idle = node.idle.pollLast();
                connection = idle.isUsable() ? idle : null;
            }
            reused = connection != null;
            if (reused) {
                send();
                return;
            }
            HttpClientConnection.connect(thread, timers, node.address, CONNECT_TIMEOUT_NANOS, opened -> {
                connection = opened;
                if (opened == null) {
                    timers.schedule(FAILOVER_DELAY_NANOS, () -> connect((nodeIndex + 1) % nodes.size()));
                } else {
                    send();
                }
            });
        }

        private void send() {
            Turn turn = execution.turn;
            String path = "/v1/chat/completions?session=" + Long.toHexString(turn.session()) + "&prefix="
                    + Long.toHexString(turn.prefix()) + "&prompt=" + Integer.toHexString(turn.promptTokens())
                    + "&shared="
                    + Integer.toHexString(turn.prefixTokens()) + "&out=" + Integer.toHexString(turn.outputTokens());
            String body =
                    "{\"model\":\"advisor\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
            rules.onRequestSent(requestId, node.name);
            rules.setDeadline(requestId, deadlineAt);
            boolean nonIdempotent = withNonIdempotentRequests && turn.session() % 3 == 0;
            if (nonIdempotent) {
                rules.markNonIdempotent(requestId);
            }
            connection.send(
                    this,
                    ByteBuffer.wrap(("POST " + path + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + requestId
                                    + "\r\nX-Class: "
                                    + (nonIdempotent ? NodeProcess.NON_IDEMPOTENT_CLASS : NodeProcess.IDEMPOTENT_CLASS)
                                    + "\r\nX-Key: "
                                    + String.format("%016x", turn.session()) + "\r\nX-Deadline-Ms: "
                                    + Math.max(1, (deadlineAt - timers.now()) / NANOS_PER_MILLI)
                                    + "\r\nX-Extras: prefix="
                                    + String.format("%016x", turn.prefix())
                                    + ",prompt_len=" + turn.promptTokens() + ",prefix_len=" + turn.prefixTokens()
                                    + ",max_out=800\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1)));
            deadlineTimer = timers.schedule(deadlineAt + deadlineGraceNanos - timers.now(), this::onDeadline);
        }

        /** The client has waited long enough for the first event, and closes. */
        private void onDeadline() {
            if (!finished && firstEventAt < 0) {
                finished = true;
                if (deadlineGraceNanos > 0) {
                    rules.onDeadlineMissed(requestId);
                }
                rules.onClientDisconnected(timers.now(), requestId);
                connection.close();
                execution.retryOrFinish(TurnOutcome.TIMED_OUT, execution.retryDelayNanos());
            }
        }

        @Override
        public void onHead(ResponseHead response) {
            status = response.status();
            retryAfter = response.header("retry-after");
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (status == 200 && firstEventAt < 0) {
                firstEventAt = timers.now();
                deadlineTimer.cancel();
                firstEventNanos = firstEventNanos < 0 ? firstEventAt - startedAt : firstEventNanos;
                firstEventMicros.recordValue(Math.min(59_999_999, (firstEventAt - execution.firstAttemptAt) / 1000));
            }
            if (lastEventAt >= 0) {
                eventGapMicros.recordValue(Math.min(59_999_999, (timers.now() - lastEventAt) / 1000));
            }
            lastEventAt = timers.now();
            checksum.update(bytes.duplicate());
            byte[] last = new byte[Math.min(64, bytes.remaining())];
            bytes.duplicate().position(bytes.limit() - last.length).get(last);
            bodyTail.append(new String(last, StandardCharsets.ISO_8859_1));
            bodyTail.delete(0, Math.max(0, bodyTail.length() - 64));
            connection.resumeReading();
        }

        @Override
        public void onComplete(boolean reusable) {
            if (reusable) {
                node.idle.addLast(connection);
            }
            if (finished) {
                return;
            }
            finished = true;
            deadlineTimer.cancel();
            if (status == 200) {
                rules.onResponseCompleted(requestId, true, checksum.getValue());
                long objectiveNanos = FIRST_TOKEN_OBJECTIVE_NANOS
                        + (long) (execution.turn.promptTokens() * FIRST_TOKEN_OBJECTIVE_NANOS_PER_PROMPT_TOKEN);
                execution.finish(
                        bodyTail.indexOf("[DONE]") < 0
                                ? TurnOutcome.BROKEN
                                : firstEventAt - execution.firstAttemptAt <= objectiveNanos
                                        ? TurnOutcome.IN_TIME
                                        : TurnOutcome.LATE);
            } else {
                rules.onResponseCompleted(requestId, false, 0);
                boolean rejected = status == 503 || status == 429;
                if (rejected) {
                    rules.onRequestRejected(requestId);
                }
                long retryDelayNanos = rejected && !retryAfter.isEmpty()
                        ? (long) (Double.parseDouble(retryAfter) * NANOS_PER_SECOND)
                        : execution.retryDelayNanos();
                execution.retryOrFinish(rejected ? TurnOutcome.REJECTED : TurnOutcome.FAILED, retryDelayNanos);
            }
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure how) {
            if (finished) {
                return;
            }
            deadlineTimer.cancel();
            if (firstEventAt >= 0) {
                finished = true;
                execution.finish(TurnOutcome.BROKEN);
            } else if (reused || how == HttpClientConnection.CallFailure.REQUEST_NOT_WRITTEN) {
                // The node closed an idle connection as the request crossed it: it goes out once more on a new one.
                rules.onIdleConnectionClosed(requestId);
                node.idle.clear();
                connect(nodes.indexOf(node));
            } else {
                finished = true;
                rules.onConnectionLost(requestId);
                execution.retryOrFinish(TurnOutcome.FAILED, execution.retryDelayNanos());
            }
        }
    }

    /** One line for each second: asked, and of those in time, late, broken, refused, failed, given up. */
    public List<String> formatTable() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                "%6s %6s %8s %6s %7s %8s %7s %9s",
                "second", "asked", "in time", "late", "broken", "refused", "failed", "given up"));
        for (int second = 0; second < outcomesBySecond.length - 1; second++) {
            int[] outcomes = outcomesBySecond[second];
            lines.add(String.format(
                    "%6d %6d %8d %6d %7d %8d %7d %9d",
                    second,
                    IntStream.of(outcomes).sum(),
                    outcomes[0],
                    outcomes[1],
                    outcomes[2],
                    outcomes[3],
                    outcomes[4],
                    outcomes[5]));
        }
        return lines;
    }

    /** Turns by how they ended, over the whole run. */
    public Map<TurnOutcome, Integer> outcomeTotals() {
        Map<TurnOutcome, Integer> totals = new HashMap<>();
        for (int[] row : outcomesBySecond) {
            for (TurnOutcome outcome : TurnOutcome.values()) {
                totals.merge(outcome, row[outcome.ordinal()], Integer::sum);
            }
        }
        return totals;
    }
}
