package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.lab.load.ArrivalPlan.Turn;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** One request of a turn, from choosing a node to the end of its response. */
final class ClientAttempt implements HttpClientConnection.ResponseHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    /** Time after which a front layer tries the next node when one refuses the connection. */
    private static final long FAILOVER_DELAY_NANOS = 50 * NANOS_PER_MILLI;
    /** The first-token objective of the request class: a constant, and a part for each token of the prompt. */
    private static final long FIRST_TOKEN_OBJECTIVE_NANOS = 1500 * NANOS_PER_MILLI;

    private static final double FIRST_TOKEN_OBJECTIVE_NANOS_PER_PROMPT_TOKEN = 0.06 * NANOS_PER_MILLI;
    private static final String BODY =
            "{\"model\":\"advisor\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
    private static final String END_MARKER = "[DONE]";
    /** Bytes kept of the end of the response, enough to contain the end marker. */
    private static final int TAIL_BYTES = 64;

    private final LoadGenerator generator;
    private final TurnExecution execution;
    private final RuleChecker rules;
    private final String requestId;
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

    ClientAttempt(LoadGenerator generator, TurnExecution execution) {
        this.generator = generator;
        this.execution = execution;
        this.rules = generator.rules();
        this.requestId = generator.nextRequestId();
        this.deadlineAt = generator.now() + execution.timeoutNanos();
    }

    /** Sends the request to this node, or to the next one that accepts a connection before the deadline. */
    void connect(NodeConnections chosen) {
        if (generator.now() >= deadlineAt) {
            execution.retryOrFinish(TurnOutcome.TIMED_OUT);
            return;
        }
        node = chosen;
        connection = node.pollIdle();
        reused = connection != null;
        if (reused) {
            send();
            return;
        }
        node.open(opened -> {
            connection = opened;
            if (opened == null) {
                generator.schedule(FAILOVER_DELAY_NANOS, () -> connect(generator.nextNode(chosen)));
            } else {
                send();
            }
        });
    }

    private void send() {
        rules.onRequestSent(generator.now(), requestId, node.nodeName());
        rules.setDeadline(requestId, deadlineAt);
        boolean nonIdempotent = generator.isNonIdempotent(execution.turn());
        if (nonIdempotent) {
            rules.markNonIdempotent(requestId);
        }
        String requestClass = nonIdempotent ? NodeProcess.NON_IDEMPOTENT_CLASS : NodeProcess.IDEMPOTENT_CLASS;
        connection.send(this, ByteBuffer.wrap(formatRequest(execution.turn(), requestClass)));
        long timeoutNanos = deadlineAt + generator.deadlineGraceNanos() - generator.now();
        deadlineTimer = generator.schedule(timeoutNanos, this::onDeadline);
    }

    private byte[] formatRequest(Turn turn, String requestClass) {
        String path = "/v1/chat/completions?session=" + Long.toHexString(turn.session())
                + "&prefix=" + Long.toHexString(turn.prefix())
                + "&prompt=" + Integer.toHexString(turn.promptTokens())
                + "&shared=" + Integer.toHexString(turn.prefixTokens())
                + "&out=" + Integer.toHexString(turn.outputTokens());
        String extras = "prefix=" + toFixedHex(turn.prefix()) + ",prompt_len=" + turn.promptTokens() + ",prefix_len="
                + turn.prefixTokens() + ",max_out=800";
        return PostRequest.to(path)
                .header("X-Request-Id", requestId)
                .header("X-Class", requestClass)
                .header("X-Key", toFixedHex(turn.session()))
                .header("X-Deadline-Ms", Math.max(1, (deadlineAt - generator.now()) / NANOS_PER_MILLI))
                .header("X-Extras", extras)
                .toBytes(BODY);
    }

    private static String toFixedHex(long value) {
        return String.format("%016x", value);
    }

    /** The client has waited long enough for the first event and closes its connection. */
    private void onDeadline() {
        if (finished || firstEventAt >= 0) {
            return;
        }
        finished = true;
        if (generator.deadlineGraceNanos() > 0) {
            rules.onDeadlineMissed(requestId);
        }
        rules.onClientDisconnected(generator.now(), requestId);
        connection.close();
        execution.retryOrFinish(TurnOutcome.TIMED_OUT);
    }

    @Override
    public void onHead(ResponseHead response) {
        status = response.status();
        retryAfter = response.header("retry-after");
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        long now = generator.now();
        if (status == 200 && firstEventAt < 0) {
            firstEventAt = now;
            deadlineTimer.cancel();
            generator.statistics().onFirstEvent(now - generator.startedAt(), now - execution.startedAt());
        }
        if (lastEventAt >= 0) {
            generator.statistics().onEventGap(now - lastEventAt);
        }
        lastEventAt = now;
        checksum.update(bytes.duplicate());
        keepTail(bytes);
        connection.resumeReading();
    }

    private void keepTail(ByteBuffer bytes) {
        byte[] last = new byte[Math.min(TAIL_BYTES, bytes.remaining())];
        bytes.duplicate().position(bytes.limit() - last.length).get(last);
        bodyTail.append(new String(last, StandardCharsets.ISO_8859_1));
        bodyTail.delete(0, Math.max(0, bodyTail.length() - TAIL_BYTES));
    }

    @Override
    public void onComplete(boolean reusable) {
        if (reusable) {
            node.release(connection);
        }
        if (finished) {
            return;
        }
        finished = true;
        deadlineTimer.cancel();
        if (status == 200) {
            rules.onResponseServed(requestId, checksum.getValue());
            execution.finish(servedOutcome());
        } else {
            rules.onErrorResponse(requestId);
            onErrorStatus();
        }
    }

    private TurnOutcome servedOutcome() {
        if (bodyTail.indexOf(END_MARKER) < 0) {
            return TurnOutcome.BROKEN;
        }
        long objectiveNanos = FIRST_TOKEN_OBJECTIVE_NANOS
                + (long) (execution.turn().promptTokens() * FIRST_TOKEN_OBJECTIVE_NANOS_PER_PROMPT_TOKEN);
        return firstEventAt - execution.startedAt() <= objectiveNanos ? TurnOutcome.IN_TIME : TurnOutcome.LATE;
    }

    private void onErrorStatus() {
        boolean rejected = status == 503 || status == 429;
        if (!rejected) {
            execution.retryOrFinish(TurnOutcome.FAILED);
            return;
        }
        rules.onRequestRejected(requestId);
        if (retryAfter.isEmpty()) {
            execution.retryOrFinish(TurnOutcome.REJECTED);
        } else {
            long delayNanos = (long) (Double.parseDouble(retryAfter) * NANOS_PER_SECOND);
            execution.retryOrFinish(TurnOutcome.REJECTED, delayNanos);
        }
    }

    @Override
    public void onFailure(HttpClientConnection.CallFailure failure) {
        if (finished) {
            return;
        }
        deadlineTimer.cancel();
        if (firstEventAt >= 0) {
            finished = true;
            rules.onStreamBroken(generator.now(), requestId);
            execution.finish(TurnOutcome.BROKEN);
        } else if (reused || failure == HttpClientConnection.CallFailure.REQUEST_NOT_WRITTEN) {
            // The node closed the idle connection while the request was on its way: send it on a new one.
            rules.onIdleConnectionClosed(requestId);
            node.discardIdle();
            connect(node);
        } else {
            finished = true;
            rules.onConnectionLost(requestId);
            execution.retryOrFinish(TurnOutcome.FAILED);
        }
    }
}
