package fawnlb.lab.engine;

import fawnlb.eventloop.Timers;
import fawnlb.lab.net.HttpExchange;
import fawnlb.lab.rules.RuleChecker;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** One response of an {@link EngineServer}: it turns generated tokens into bytes and reports its end to the rules. */
final class GeneratedAnswer implements TokenListener {
    private static final int TOKENS_PER_EVENT = 4;
    private static final String STREAM_RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String JSON_RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n";
    private static final long MIN_SLOW_WRITING_NANOS = 1_000_000_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final EngineServer server;
    private final Engine engine;
    private final Timers timers;
    private final RuleChecker rules;
    private final CompletionRequest request;
    private final HttpExchange exchange;
    private final Sequence sequence;
    private final CRC32C checksum = new CRC32C();
    private final StringBuilder bodyText = new StringBuilder();
    private boolean finished;
    private long faultInjectedAt = -1;
    private long lastWriteAt = -1;

    GeneratedAnswer(
            EngineServer server,
            Engine engine,
            Timers timers,
            RuleChecker rules,
            CompletionRequest request,
            HttpExchange exchange) {
        this.server = server;
        this.engine = engine;
        this.timers = timers;
        this.rules = rules;
        this.request = request;
        this.exchange = exchange;
        this.sequence = request.toSequence(this);
    }

    Sequence sequence() {
        return sequence;
    }

    /** The connection has been closed by the node, or by a fault. */
    void onConnectionClosed() {
        if (faultInjectedAt >= 0) {
            server.onFaultDetected(timers.now() - faultInjectedAt);
            checkSlowAnswer(timers.now() - faultInjectedAt);
        }
        if (finished) {
            return;
        }
        finished = true;
        if (faultInjectedAt < 0 && lastWriteAt >= 0) {
            server.onAnswerCancelled(timers.now() - lastWriteAt);
        }
        engine.cancel(sequence);
        rules.onAttemptCancelled(timers.now(), request.requestId(), server.id());
    }

    /** A node that ends the attempt at the time of its first event may not know of the event yet. */
    private void checkSlowAnswer(long writingNanos) {
        boolean isCutByNode = exchange.isClosedByClient() && server.isReachable();
        if (exchange.isWritingSlowly() && isCutByNode && writingNanos > MIN_SLOW_WRITING_NANOS) {
            rules.onSlowAnswerCut(request.requestId(), writingNanos);
        }
    }

    @Override
    public void onToken(boolean last) {
        int generated = sequence.generatedTokens();
        if (finished || generated > 1 && generated % TOKENS_PER_EVENT != 0 && !last) {
            return;
        }
        String content = server.id() + '.' + generated + ' ' + "x".repeat(request.paddingBytes());
        if (request.streaming()) {
            writeEvents(content, last);
        } else {
            bodyText.append(content);
            if (last) {
                writeCompleteBody();
            }
        }
    }

    private void writeEvents(String content, boolean last) {
        ApiFormat apiFormat = server.apiFormat();
        String head = sequence.generatedTokens() == 1 ? STREAM_RESPONSE_HEAD : "";
        String events = apiFormat.textEvents(sequence, content) + (last ? apiFormat.endEvents(sequence) : "");
        byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
        checksum.update(bytes);
        String chunk = Integer.toHexString(bytes.length) + "\r\n" + events + "\r\n";
        if (last) {
            writeLast(head + chunk + LAST_CHUNK, STREAM_RESPONSE_HEAD.length());
        } else {
            write(head + chunk);
        }
    }

    private void writeCompleteBody() {
        String body = server.apiFormat().completeBody(sequence, bodyText.toString());
        checksum.update(body.getBytes(StandardCharsets.UTF_8));
        String head = String.format(JSON_RESPONSE_HEAD, body.length());
        writeLast(head + body, head.length());
    }

    private void write(String bytes) {
        exchange.write(bytes);
        lastWriteAt = timers.now();
        if (faultInjectedAt < 0 && exchange.isFaultInjected()) {
            faultInjectedAt = timers.now();
            if (exchange.isEndless()) {
                rules.onProgressEnded(timers.now(), request.requestId());
            } else if (exchange.isWritingSlowly()) {
                rules.onSlowWritingStarted();
            }
        }
    }

    private void writeLast(String bytes, int headBytes) {
        finished = true;
        rules.onAttemptCompleted(timers.now(), request.requestId(), server.id(), checksum.getValue());
        write(bytes);
        server.onAnswerCompleted(new CompletedResponse(headBytes, exchange.endResponse(), timers.now()));
        if (faultInjectedAt < 0) {
            exchange.setCloseListener(() -> {});
        }
    }
}
