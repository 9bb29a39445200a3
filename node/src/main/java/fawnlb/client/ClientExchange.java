package fawnlb.client;

import fawnlb.actor.Mailbox;
import fawnlb.flow.ClientConnection;
import fawnlb.flow.Flows;
import fawnlb.flow.Source;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The actor of one client's exchange: passes the answer on as it comes, and sees the client leave. */
public final class ClientExchange implements ClientConnection, Source.Sink {
    private static final Logger LOG = Logger.getLogger(ClientExchange.class.getName());
    private static final AttachmentKey<Serving> SERVING = AttachmentKey.create(Serving.class);
    private static final AttachmentKey<Long> QUEUED = AttachmentKey.create(Long.class);

    /** The ends of an event, as the last bytes that were passed on. */
    private static final int BLANK_LINE = 0x0a0a;

    private static final int BLANK_CRLF_LINE = 0x0d0a0d0a;

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final Mailbox mailbox;
    private final Replies replies;
    private Serving serving;
    private Flows.Ticket ticket;
    private Source source;
    private StreamSinkChannel channel;
    private ByteBuffer pending;
    private int lastBytes;
    private boolean ended;
    private boolean done;
    private Replies.End endedAs;

    public ClientExchange(HttpServerExchange exchange, Mailbox mailbox, Replies replies) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.mailbox = mailbox;
        this.replies = replies;
    }

    /** Notes for how long the request may have waited before its connection was accepted, in nanoseconds. */
    static void noteQueued(HttpServerExchange exchange, long nanos) {
        exchange.putAttachment(QUEUED, nanos);
    }

    @Override
    public long queued() {
        Long nanos = exchange.getAttachment(QUEUED);
        return nanos == null ? 0 : nanos;
    }

    /** From here on the exchange answers for the flow, and tells it if the client leaves. */
    public void serve(Flows.Ticket taken) {
        ticket = taken;
        connection.getChannel().getSourceChannel().setReadListener(c -> readable());
        connection.getOriginalSourceConduit().resumeReads();
        serving = connection.getAttachment(SERVING);
        if (serving == null) {
            serving = new Serving();
            connection.putAttachment(SERVING, serving);
            Serving watched = serving;
            connection.addCloseListener(c -> watched.closed());
        }
        serving.exchange = this;
    }

    /**
     * Which exchange a connection is serving. A connection keeps its close listeners for as long as it stays open: with
     * one for each exchange it would keep every request that it ever carried.
     */
    private static final class Serving {
        private ClientExchange exchange;

        void closed() {
            ClientExchange last = exchange;
            if (last != null) {
                last.tell(last::left);
            }
        }
    }

    private void tell(Runnable message) {
        mailbox.tellOrFail(message, this::failUnexpectedly);
    }

    /**
     * Something threw that nobody expected. A client that has got nothing is told so; where its answer has begun, its
     * connection ends, so that nothing looks finished.
     */
    private void failUnexpectedly() {
        try {
            if (!done && !exchange.isResponseStarted()) {
                callOff();
                answer(replies.failed(null), 0, Replies.End.FAILED, null);
                return;
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a failure could not be answered", e);
        }
        Invariant.ANSWERED_BEFORE_CLOSE.holds(
                done || exchange.isResponseStarted(), this::requestId, "it could not be answered");
        try {
            left();
        } finally {
            IoUtils.safeClose(connection);
        }
    }

    private String requestId() {
        return "request "
                + Objects.requireNonNullElse(exchange.getRequestHeaders().getFirst("X-Request-Id"), "without an id");
    }

    /** An answer for a request that is over: of no use where its client has left, and a fault where it had one. */
    private void tooLate(String what) {
        Invariant.ONE_FINAL_ANSWER.holds(
                endedAs == Replies.End.GONE, this::requestId, what + " after it was " + endedAs);
    }

    private void callOff() {
        if (ticket != null) {
            ticket.gone();
        }
    }

    /** Told once, at the end of the exchange. */
    private void finished(Replies.End end, int status, Ending cause) {
        done = true;
        endedAs = end;
        Metrics.count(Metric.REQUESTS, end);
        if (serving != null) {
            serving.exchange = null;
        }
        replies.finished(end, status, cause);
        if (source != null) {
            source.closed();
        }
    }

    /** On a busy processor a client can have left long before anybody reads that it has. */
    @Override
    public boolean present() {
        if (!done) {
            readable();
        }
        return !done;
    }

    /**
     * Undertow does not read while a request is served. We do, to see the client leave, be it behind bytes of its next
     * request.
     */
    private void readable() {
        if (done) {
            // What comes while the answer is still on its way out must not call us again and again.
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        PooledByteBuffer early = connection.getExtraBytes();
        if (early == null) {
            early = connection.getByteBufferPool().allocate();
            early.getBuffer().limit(0);
            connection.setExtraBytes(early);
        }
        ByteBuffer bytes = early.getBuffer();
        bytes.compact();
        if (!bytes.hasRemaining()) {
            // Clients ask for one thing at a time. One that sends so much ahead is not read for more than its leaving.
            exchange.setPersistent(false);
            bytes.clear();
        }
        boolean gone;
        try {
            gone = connection.getOriginalSourceConduit().read(bytes) < 0;
        } catch (IOException e) {
            gone = true;
        }
        bytes.flip();
        if (!bytes.hasRemaining()) {
            early.close();
            connection.setExtraBytes(null);
        }
        if (gone) {
            left();
        }
    }

    private void left() {
        if (!done) {
            finished(Replies.End.GONE, channel == null ? 0 : replies.servedStatus(), Ending.of(End.READER_LEFT));
            callOff();
            IoUtils.safeClose(connection);
        }
    }

    @Override
    public void streaming(Source from) {
        tell(() -> {
            if (done) {
                tooLate("a stream came");
                from.closed();
                return;
            }
            source = from;
            exchange.setStatusCode(replies.servedStatus());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, replies.servedType());
            // Undertow sends no chunks on a connection that is to close: a cut stream would look whole.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(c -> write());
            source.into(this);
        });
    }

    @Override
    public void chunk(ByteBuffer bytes) {
        tell(() -> {
            for (int i = Math.max(bytes.position(), bytes.limit() - Integer.BYTES); i < bytes.limit(); i++) {
                lastBytes = lastBytes << Byte.SIZE | bytes.get(i) & 0xff;
            }
            pending = bytes;
            write();
        });
    }

    @Override
    public void end() {
        tell(() -> {
            ended = true;
            write();
        });
    }

    @Override
    public void broken(Ending ending) {
        tell(() -> {
            if (!done) {
                // Closed without a last chunk: a cut stream must not look finished.
                sayBroken(ending);
                finished(Replies.End.BROKEN, replies.servedStatus(), ending);
                IoUtils.safeClose(connection);
            }
        });
    }

    /**
     * A front's last words on a broken stream go out in one piece or not at all: a client that reads too slowly must
     * not keep the connection, and behind half an event they would be taken for the rest of it.
     */
    private void sayBroken(Ending ending) {
        String words = replies.broken(ending);
        if (words.isEmpty() || pending != null || (lastBytes & 0xffff) != BLANK_LINE && lastBytes != BLANK_CRLF_LINE) {
            return;
        }
        try {
            channel.write(ByteBuffer.wrap(words.getBytes(StandardCharsets.UTF_8)));
            channel.flush();
        } catch (IOException e) {
            // The client has left at the same moment.
        }
    }

    private void write() {
        if (done) {
            return;
        }
        try {
            while (pending != null && pending.hasRemaining()) {
                if (channel.write(pending) == 0) {
                    lags(pending.remaining());
                    return;
                }
            }
            if (!channel.flush()) {
                lags(1);
                return;
            }
            channel.suspendWrites();
            if (ended) {
                finish();
            } else if (pending != null) {
                pending = null;
                source.more();
            }
        } catch (IOException e) {
            left();
        }
    }

    /** What is written last stays with the channel until it is flushed; for its reader it counts as one byte. */
    private void lags(int left) {
        source.lags(left);
        if (!done) {
            channel.resumeWrites();
        }
    }

    @Override
    public void refused(Ending cause, long retryAfter) {
        tell(() -> answer(replies.refused(cause), retryAfter, Replies.End.REFUSED, cause));
    }

    @Override
    public void failed(Ending cause) {
        tell(() -> answer(replies.failed(cause), 0, Replies.End.FAILED, cause));
    }

    private void answer(Replies.Reply reply, long retryAfter, Replies.End end, Ending cause) {
        if (done) {
            tooLate(end + " was to be said");
            return;
        }
        finished(end, reply.status(), cause);
        write(exchange, reply, retryAfter);
    }

    /** Sends a fixed response; with a time to come back if one is given, in nanoseconds. */
    public static void write(HttpServerExchange exchange, Replies.Reply reply, long retryAfter) {
        if (!exchange.isRequestComplete()) {
            // Undertow would first read all of a body that nobody wants, be it 60 MB.
            exchange.setPersistent(false);
            LingeringClose.requestIsIncomplete(exchange);
            Connectors.terminateRequest(exchange);
        }
        exchange.setStatusCode(reply.status());
        if (retryAfter > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RetryAfter.seconds(retryAfter));
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
        exchange.getResponseSender().send(reply.body());
    }

    private void finish() {
        finished(Replies.End.SERVED, replies.servedStatus(), null);
        exchange.endExchange();
    }
}
