package fawnlb.lab.load;

import fawnlb.actor.Timers;
import fawnlb.http.Connection;
import fawnlb.http.Response;
import fawnlb.lab.load.Plan.Turn;
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
public final class Clients {
    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;
    private static final int RETRIES = 3;
    private static final long CONNECT = S;
    /** A front layer tries the next node so soon when one refuses the connection. */
    private static final long NEXT_NODE = 50 * MS;

    private static final long AIM = 1500 * MS;
    private static final double AIM_PER_TOKEN = 0.06 * MS;

    /** How a turn ended, all its tries taken together. */
    public enum End {
        IN_TIME,
        LATE,
        BROKEN,
        REFUSED,
        FAILED,
        GIVEN_UP
    }

    private final XnioIoThread thread;
    private final Timers timers;
    private final RuleChecker rules;
    private final List<Node> nodes;
    private final Random order;
    private final int[][] ends;
    private final Histogram firstEvents = new Histogram(60_000_000, 3);
    private final Histogram gaps = new Histogram(60_000_000, 3);
    private long start;
    private long firstServed = -1;
    private long waitBeyondDeadline;
    private boolean someRunOnce;
    private int open;
    private int tries;
    private long ids;

    /** A node as clients see it. */
    private static final class Node {
        final String name;
        final InetSocketAddress address;
        final Deque<Connection> idle = new ArrayDeque<>();

        Node(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }
    }

    public Clients(
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
                .map(node -> new Node(node.getKey(), node.getValue()))
                .toList();
        this.ends = new int[seconds + 1][End.values().length];
        this.order = new Random(seed);
    }

    /**
     * Clients wait for so many nanoseconds beyond their deadline, and hold it against the node if no answer has begun
     * by then.
     */
    public void waitBeyondDeadline(long nanos) {
        waitBeyondDeadline = nanos;
    }

    /** Every third session's requests are of the class that may run once alone. */
    public void someRunOnce() {
        someRunOnce = true;
    }

    /** Asks every turn at its time, counted from now. */
    public void play(List<Turn> turns) {
        start = timers.now();
        next(turns, 0);
    }

    private void next(List<Turn> turns, int index) {
        if (index < turns.size()) {
            timers.after(start + turns.get(index).at() - timers.now(), () -> {
                new Client(turns.get(index)).ask();
                next(turns, index + 1);
            });
        }
    }

    // ---- What came of it; read after the run, or from the I/O thread ----------------------------------

    /** Turns by the second in which they were first asked, and by their end. */
    public int[][] ends() {
        return ends;
    }

    /** Turns that have not ended. */
    public int open() {
        return open;
    }

    /** Tries of all turns together. */
    public int tries() {
        return tries;
    }

    /** Nanoseconds from the start until the first event of an answer reached a client, -1 if none did. */
    public long firstServed() {
        return firstServed;
    }

    /** Microseconds from a turn's first try to its first event. */
    public Histogram firstEvents() {
        return firstEvents;
    }

    /** Microseconds between two pieces of one answer. */
    public Histogram gaps() {
        return gaps;
    }

    /** One turn and its tries. */
    private final class Client {
        private final Turn turn;
        private final long askedAt = timers.now();
        private int retries;

        Client(Turn turn) {
            this.turn = turn;
            open++;
        }

        void ask() {
            tries++;
            new Try(this).begin(order.nextInt(nodes.size()));
        }

        void over(End end) {
            open--;
            ends[(int) Math.min(ends.length - 1, (askedAt - start) / S)][end.ordinal()]++;
        }

        void again(End end, long wait) {
            if (retries++ < RETRIES) {
                timers.after(wait, this::ask);
            } else {
                over(end);
            }
        }

        long patience() {
            return turn.patience() * MS;
        }

        long pause() {
            return turn.retryAfter() * MS;
        }
    }

    /** One request. */
    private final class Try implements Connection.Call {
        private final Client client;
        private final String id = String.format("%016x", ++ids);
        private final long deadline;
        private final CRC32C sum = new CRC32C();
        private final StringBuilder tail = new StringBuilder();
        private Node node;
        private Connection connection;
        private boolean reused;
        private Timers.Timer patience;
        private int status;
        private String retryAfter = "";
        private long firstAt = -1;
        private long lastAt = -1;
        private boolean over;

        Try(Client client) {
            this.client = client;
            this.deadline = timers.now() + client.patience();
        }

        void begin(int which) {
            if (timers.now() >= deadline) {
                client.again(End.GIVEN_UP, client.pause());
                return;
            }
            node = nodes.get(which);
            connection = null;
            while (connection == null && !node.idle.isEmpty()) {
                Connection idle = node.idle.pollLast();
                connection = idle.isUsable() ? idle : null;
            }
            reused = connection != null;
            if (reused) {
                send();
                return;
            }
            Connection.open(thread, timers, node.address, CONNECT, opened -> {
                connection = opened;
                if (opened == null) {
                    timers.after(NEXT_NODE, () -> begin((which + 1) % nodes.size()));
                } else {
                    send();
                }
            });
        }

        private void send() {
            Turn turn = client.turn;
            String path = "/v1/chat/completions?session=" + Long.toHexString(turn.session()) + "&prefix="
                    + Long.toHexString(turn.prefix()) + "&prompt=" + Integer.toHexString(turn.prompt()) + "&shared="
                    + Integer.toHexString(turn.prefixLength()) + "&out=" + Integer.toHexString(turn.out());
            String body =
                    "{\"model\":\"advisor\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
            rules.asked(id, node.name);
            rules.wants(id, deadline);
            boolean once = someRunOnce && turn.session() % 3 == 0;
            if (once) {
                rules.runsOnce(id);
            }
            connection.send(
                    this,
                    ByteBuffer.wrap(("POST " + path + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + id
                                    + "\r\nX-Class: " + (once ? NodeProcess.ONCE : NodeProcess.SAFE) + "\r\nX-Key: "
                                    + String.format("%016x", turn.session()) + "\r\nX-Deadline-Ms: "
                                    + Math.max(1, (deadline - timers.now()) / MS) + "\r\nX-Extras: prefix="
                                    + String.format("%016x", turn.prefix())
                                    + ",prompt_len=" + turn.prompt() + ",prefix_len=" + turn.prefixLength()
                                    + ",max_out=800\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1)));
            patience = timers.after(deadline + waitBeyondDeadline - timers.now(), this::leave);
        }

        /** The client has waited long enough for the first event, and closes. */
        private void leave() {
            if (!over && firstAt < 0) {
                over = true;
                if (waitBeyondDeadline > 0) {
                    rules.late(id);
                }
                rules.left(timers.now(), id);
                connection.close();
                client.again(End.GIVEN_UP, client.pause());
            }
        }

        @Override
        public void head(Response response) {
            status = response.status();
            retryAfter = response.header("retry-after");
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (status == 200 && firstAt < 0) {
                firstAt = timers.now();
                patience.cancel();
                firstServed = firstServed < 0 ? firstAt - start : firstServed;
                firstEvents.recordValue(Math.min(59_999_999, (firstAt - client.askedAt) / 1000));
            }
            if (lastAt >= 0) {
                gaps.recordValue(Math.min(59_999_999, (timers.now() - lastAt) / 1000));
            }
            lastAt = timers.now();
            sum.update(bytes.duplicate());
            byte[] last = new byte[Math.min(64, bytes.remaining())];
            bytes.duplicate().position(bytes.limit() - last.length).get(last);
            tail.append(new String(last, StandardCharsets.ISO_8859_1));
            tail.delete(0, Math.max(0, tail.length() - 64));
            connection.more();
        }

        @Override
        public void end(boolean reusable) {
            if (reusable) {
                node.idle.addLast(connection);
            }
            if (over) {
                return;
            }
            over = true;
            patience.cancel();
            if (status == 200) {
                rules.answered(id, true, sum.getValue());
                long aim = AIM + (long) (client.turn.prompt() * AIM_PER_TOKEN);
                client.over(
                        tail.indexOf("[DONE]") < 0
                                ? End.BROKEN
                                : firstAt - client.askedAt <= aim ? End.IN_TIME : End.LATE);
            } else {
                rules.answered(id, false, 0);
                boolean refused = status == 503 || status == 429;
                if (refused) {
                    rules.refused(id);
                }
                long wait =
                        refused && !retryAfter.isEmpty() ? (long) (Double.parseDouble(retryAfter) * S) : client.pause();
                client.again(refused ? End.REFUSED : End.FAILED, wait);
            }
        }

        @Override
        public void broken(Connection.Break how) {
            if (over) {
                return;
            }
            patience.cancel();
            if (firstAt >= 0) {
                over = true;
                client.over(End.BROKEN);
            } else if (reused || how == Connection.Break.NOT_WRITTEN) {
                // The node closed an idle connection as the request crossed it: it goes out once more on a new one.
                rules.closedUpon(id);
                node.idle.clear();
                begin(nodes.indexOf(node));
            } else {
                over = true;
                rules.lost(id);
                client.again(End.FAILED, client.pause());
            }
        }
    }

    /** One line for each second: asked, and of those in time, late, broken, refused, failed, given up. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                "%6s %6s %8s %6s %7s %8s %7s %9s",
                "second", "asked", "in time", "late", "broken", "refused", "failed", "given up"));
        for (int second = 0; second < ends.length - 1; second++) {
            int[] row = ends[second];
            lines.add(String.format(
                    "%6d %6d %8d %6d %7d %8d %7d %9d",
                    second, IntStream.of(row).sum(), row[0], row[1], row[2], row[3], row[4], row[5]));
        }
        return lines;
    }

    /** Turns by how they ended, over the whole run. */
    public Map<End, Integer> totals() {
        Map<End, Integer> totals = new HashMap<>();
        for (int[] row : ends) {
            for (End end : End.values()) {
                totals.merge(end, row[end.ordinal()], Integer::sum);
            }
        }
        return totals;
    }
}
