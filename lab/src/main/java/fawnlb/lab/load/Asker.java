package fawnlb.lab.load;

import fawnlb.actor.Timers;
import fawnlb.http.Connection;
import fawnlb.http.Response;
import fawnlb.lab.rules.RuleChecker;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/** Asks single requests and tells in full what came back. All runs on one I/O thread. */
public final class Asker {
    private static final long CONNECT = 1_000_000_000;

    private final XnioIoThread thread;
    private final Timers timers;
    private final RuleChecker rules;
    private final String node;
    private final InetSocketAddress address;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /** A request: path with query, headers as lines with their ends, and a body. */
    public record Question(String id, String path, String headers, String body) {}

    /**
     * What came back. {@code status}: 0 if no head came; {@code whole}: its framing ended as it should; {@code took}:
     * nanoseconds from the request's last byte to the end.
     */
    public record Answer(String id, int status, String retryAfter, String body, boolean whole, long took) {}

    /** Node: the name under which the rule checker knows it. */
    public Asker(XnioIoThread thread, Timers timers, RuleChecker rules, String node, InetSocketAddress address) {
        this.thread = thread;
        this.timers = timers;
        this.rules = rules;
        this.node = node;
        this.address = address;
    }

    public void ask(Question question, Consumer<Answer> told) {
        Connection usable = null;
        while (usable == null && !idle.isEmpty()) {
            Connection kept = idle.pollLast();
            usable = kept.isUsable() ? kept : null;
        }
        if (usable != null) {
            new Asked(question, told, true).send(usable);
        } else {
            open(question, told);
        }
    }

    private void open(Question question, Consumer<Answer> told) {
        Connection.open(thread, timers, address, CONNECT, opened -> {
            if (opened == null) {
                told.accept(new Answer(question.id(), 0, "", "", false, 0));
            } else {
                new Asked(question, told, false).send(opened);
            }
        });
    }

    private final class Asked implements Connection.Call {
        private final Question question;
        private final Consumer<Answer> told;
        private final boolean reused;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Connection connection;
        private Response head;
        private long sentAt;

        Asked(Question question, Consumer<Answer> told, boolean reused) {
            this.question = question;
            this.told = told;
            this.reused = reused;
        }

        void send(Connection on) {
            connection = on;
            sentAt = timers.now();
            rules.asked(question.id(), node);
            byte[] content = question.body().getBytes(StandardCharsets.UTF_8);
            connection.send(
                    this,
                    ByteBuffer.wrap(("POST " + question.path() + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: "
                                    + question.id() + "\r\n" + question.headers() + "Content-Length: " + content.length
                                    + "\r\n\r\n" + question.body())
                            .getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void head(Response response) {
            head = response;
        }

        @Override
        public void body(ByteBuffer bytes) {
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            body.writeBytes(piece);
            connection.more();
        }

        @Override
        public void end(boolean reusable) {
            if (reusable) {
                idle.addLast(connection);
            }
            tell(true);
        }

        @Override
        public void broken(Connection.Break how) {
            if (head == null && reused) {
                // The node closed an idle connection as the request crossed it.
                idle.clear();
                open(question, told);
            } else {
                tell(false);
            }
        }

        private void tell(boolean whole) {
            told.accept(new Answer(
                    question.id(),
                    head == null ? 0 : head.status(),
                    head == null ? "" : head.header("retry-after"),
                    body.toString(StandardCharsets.UTF_8),
                    whole,
                    timers.now() - sentAt));
        }
    }
}
