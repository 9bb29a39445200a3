package fawnlb.platform;

import fawnlb.Balancer.Outcome;
import fawnlb.actor.Mailbox;
import fawnlb.flow.Flows;
import fawnlb.flow.Listener;
import fawnlb.flow.Source;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The actor of one client's exchange: passes the answer on as it comes, and sees the client leave. */
final class ClientExchange implements Listener, Source.Sink {
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final Mailbox mailbox;
    private final Runnable finished;
    private Flows.Ticket ticket;
    private Source source;
    private StreamSinkChannel channel;
    private ByteBuffer pending;
    private boolean ended;
    private boolean done;

    ClientExchange(HttpServerExchange exchange, Mailbox mailbox, Runnable finished) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.mailbox = mailbox;
        this.finished = finished;
    }

    /** From here on the exchange answers for the flow, and tells it if the client leaves. */
    void serve(Flows.Ticket taken) {
        ticket = taken;
        // Undertow does not read while a request is being served, and would not see its client leave.
        connection.getChannel().getSourceChannel().setReadListener(c -> readable());
        connection.getOriginalSourceConduit().resumeReads();
        exchange.getConnection().addCloseListener(c -> mailbox.tell(this::left));
    }

    private void readable() {
        if (done) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int n = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (n < 0) {
                left();
            } else if (n > 0) {
                // The next request came early: it waits its turn, unread.
                connection.getOriginalSourceConduit().suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            }
        } catch (IOException e) {
            left();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    private void left() {
        if (!done) {
            done = true;
            ticket.gone();
            IoUtils.safeClose(connection);
            finished.run();
        }
    }

    @Override
    public void streaming(Source from) {
        mailbox.tell(() -> {
            if (done) {
                return;
            }
            source = from;
            exchange.setStatusCode(StatusCodes.OK);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(c -> write());
            source.into(this);
        });
    }

    @Override
    public void chunk(ByteBuffer bytes) {
        mailbox.tell(() -> {
            pending = bytes;
            write();
        });
    }

    @Override
    public void end() {
        mailbox.tell(() -> {
            ended = true;
            write();
        });
    }

    @Override
    public void broken() {
        mailbox.tell(() -> {
            if (!done) {
                // Closed without a last chunk: a cut stream must not look finished.
                done = true;
                IoUtils.safeClose(connection);
                finished.run();
            }
        });
    }

    private void write() {
        if (done) {
            return;
        }
        try {
            while (pending != null && pending.hasRemaining()) {
                if (channel.write(pending) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            if (!channel.flush()) {
                channel.resumeWrites();
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

    @Override
    public void refused(Outcome cause, long retryAfter) {
        mailbox.tell(() -> answer(StatusCodes.SERVICE_UNAVAILABLE, retryAfter, "refused; try again later\n"));
    }

    @Override
    public void failed(Outcome cause) {
        mailbox.tell(() -> answer(cause == Outcome.TIMEOUT ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY, 0,
                "failed\n"));
    }

    private void answer(int status, long retryAfter, String text) {
        if (done) {
            return;
        }
        exchange.setStatusCode(status);
        if (retryAfter > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RetryAfter.seconds(retryAfter));
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text);
        done = true;
        finished.run();
    }

    private void finish() {
        done = true;
        exchange.endExchange();
        finished.run();
    }
}
