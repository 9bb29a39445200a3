package fawnlb.lab.engine;

import fawnlb.actor.Timers;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.net.HttpServer.Exchange;
import fawnlb.lab.net.HttpServer.Request;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import org.xnio.XnioWorker;

/** A box: an engine behind sockets, with what can go wrong with it. All of it runs on the worker's I/O thread. */
public final class EngineServer implements HttpServer.Handler {
    /** Tokens in one event. */
    private static final int EVENT = 4;
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";

    private final Timers timers;
    private final RuleChecker rules;
    private final Kind kind;
    private final Speech speech;
    private final Engine.Cold cold;
    private final HttpServer server;
    private String id;
    private Engine engine;
    private boolean draining;
    private boolean silent;

    /** What the lab's clients tell of a request in its query: the true length of an answer is known to no one else. */
    private record Ask(String id, long session, long prefix, int prompt, int prefixLength, int out) {
        static Ask of(Request request) {
            Map<String, Long> facts = new HashMap<>();
            for (String part : request.path().substring(request.path().indexOf('?') + 1).split("&")) {
                int at = part.indexOf('=');
                if (at > 0) {
                    facts.put(part.substring(0, at), Long.parseUnsignedLong(part.substring(at + 1), 16));
                }
            }
            return new Ask(request.header("x-request-id"), facts.getOrDefault("session", 0L), facts.getOrDefault("prefix", 0L),
                    facts.getOrDefault("prompt", 1L).intValue(), facts.getOrDefault("shared", 0L).intValue(),
                    facts.getOrDefault("out", 1L).intValue());
        }
    }

    public EngineServer(String id, Kind kind, Speech speech, Engine.Cold cold, long startedAt, XnioWorker worker, Timers timers,
                        RuleChecker rules) throws IOException {
        this.id = id;
        this.kind = kind;
        this.speech = speech;
        this.cold = cold;
        this.timers = timers;
        this.rules = rules;
        this.engine = new Engine(kind, cold, startedAt);
        this.server = new HttpServer(worker, new InetSocketAddress("127.0.0.1", 0), this);
    }

    public String id() {
        return id;
    }

    public Kind kind() {
        return kind;
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Whether it was sent so much while it was cold that it fell over. */
    public boolean isDown() {
        return engine.isDown();
    }

    // ---- What can happen to it ------------------------------------------------------------------------

    /** Another box at the same address, cold. */
    public void replace(String newId) {
        id = newId;
        engine = new Engine(kind, cold, timers.now());
        server.resetAll();
    }

    /** The process starts anew, cold and with nothing kept. */
    public void restart() throws IOException {
        replace(id);
        silent = false;
        draining = false;
        server.accept();
    }

    /** Finishes what it has and turns away all else. */
    public void drain() {
        draining = true;
    }

    /** The process is gone: connections are reset, new ones refused. */
    public void die() {
        server.refuse();
        server.resetAll();
    }

    /** Says nothing any more, as a machine that is cut off: open connections stay open, new ones never come up. */
    public void vanish() throws IOException {
        silent = true;
        server.hang();
    }

    /** Every open connection is reset; new ones are taken. */
    public void reset() {
        server.resetAll();
    }

    public void slow(double factor) {
        engine.slow(factor);
    }

    public void close() {
        server.close();
    }

    // ---- What it answers ------------------------------------------------------------------------------

    @Override
    public void connected(Exchange exchange) {
        engine.connected();
    }

    @Override
    public void request(Request request, Exchange exchange) {
        if (silent) {
            exchange.fallSilent();
            return;
        }
        if (engine.isDown()) {
            die();
            return;
        }
        String path = request.path().split("\\?")[0];
        if (path.equals(speech.path())) {
            answer(Ask.of(request), exchange);
            return;
        }
        switch (path) {
            case "/health/live" -> exchange.write("HTTP/1.1 200 OK\r\n" + EMPTY);
            case "/stats" -> {
                engine.probed();
                String report = "TEXT queue=" + engine.waiting();
                exchange.write("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            }
            default -> exchange.write("HTTP/1.1 404 Not Found\r\n" + EMPTY);
        }
    }

    private void answer(Ask ask, Exchange exchange) {
        long now = timers.now();
        rules.sent(now, ask.id(), id, () -> exchange.isOpen());
        Answer answer = new Answer(ask, exchange);
        if (draining || !engine.offer(now, answer.sequence)) {
            rules.ended(timers.now(), ask.id(), id, false, 0);
            exchange.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + EMPTY);
            if (engine.isDown()) {
                rules.fell(now, id);
                die();
            }
            return;
        }
        exchange.whenClosed(answer::cancelled);
        step(engine);
    }

    private void step(Engine stepping) {
        long end = stepping.begin(timers.now());
        if (end >= 0) {
            timers.after(end - timers.now(), () -> {
                if (!silent && stepping == engine) {
                    stepping.end();
                    step(stepping);
                }
            });
        }
    }

    /** One answer as it is made. */
    private final class Answer implements Engine.Output {
        private final Ask ask;
        private final Exchange exchange;
        private final Engine made = engine;
        private final Engine.Sequence sequence;
        private final CRC32C sum = new CRC32C();
        private boolean over;

        Answer(Ask ask, Exchange exchange) {
            this.ask = ask;
            this.exchange = exchange;
            this.sequence = new Engine.Sequence(ask.session(), ask.prefix(), ask.prompt(), ask.prefixLength(), ask.out(), this);
        }

        void cancelled() {
            if (!over) {
                over = true;
                made.cancel(sequence);
                rules.ended(timers.now(), ask.id(), id, false, 0);
            }
        }

        @Override
        public void token(boolean last) {
            if (over) {
                return;
            }
            String head = sequence.made() == 1 ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n" : "";
            if (sequence.made() == 1 || sequence.made() % EVENT == 0 || last) {
                String events = speech.text(sequence, id + '.' + sequence.made() + ' ', last) + (last ? speech.end(sequence) : "");
                byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
                sum.update(bytes);
                over = last;
                if (last) {
                    exchange.whenClosed(() -> { });
                    rules.ended(timers.now(), ask.id(), id, true, sum.getValue());
                }
                exchange.write(head + Integer.toHexString(bytes.length) + "\r\n" + events + "\r\n" + (last ? "0\r\n\r\n" : ""));
            }
        }
    }
}
