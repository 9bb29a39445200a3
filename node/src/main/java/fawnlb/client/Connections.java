package fawnlb.client;

import fawnlb.actor.Timers;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The client connections of a node from their accept on, and what each is doing. Beyond a limit those are closed that
 * have been idle for longest: a client that connects by hundreds and stays silent must not keep out those who ask. At a
 * planned end an idle one must be closed before the process ends: a request written to it a moment later would be lost
 * with the process, while one that meets a closed connection is sent again elsewhere.
 *
 * <p>A connection on which a part of a request's head has come is not idle. It is closed to make room where no idle one
 * is left; apart from that the time limit for heads ends it, which begins with their first byte.
 */
public final class Connections {
    /** Connections over the limit, kept only to be told so. */
    private static final int SPARE = 12;

    private static final long MIN_PAUSE = 20_000_000;
    /** The limits are looked at so often at least, since a head may begin right after a look, in nanoseconds. */
    private static final long MAX_PAUSE = 250_000_000;

    /**
     * What holds for clients' connections; times in nanoseconds.
     *
     * @param open how many may be open; beyond that idle ones make room
     * @param idle how long one may be idle
     * @param head how long the head of a request may take from its first byte
     */
    public record Limits(int open, long idle, long head) {}

    /** CLOSING: its last answer is out; what its client still sends is read and dropped. */
    private enum Phase {
        IDLE,
        READING_HEAD,
        SERVING,
        CLOSING
    }

    /** Why the node closes a connection of its own accord. */
    private enum CloseReason {
        IDLE_LIMIT,
        HEAD_LIMIT,
        CLOSING_LIMIT,
        NO_ROOM,
        NO_ROOM_UNREAD,
        PLANNED_END
    }

    /** What a connection has been doing, and since when, in nanoseconds. */
    private record Activity(Phase phase, long since) {
        boolean is(Phase other) {
            return phase == other;
        }
    }

    /** Those that have been idle, or reading a head, for longest come first. */
    private final Map<StreamConnection, Activity> open = new LinkedHashMap<>();
    /** Since when the first request of a connection may have waited in the kernel's queue. */
    private final Map<StreamConnection, Long> queuedSince = new HashMap<>();

    private final Limits limits;
    private final Timers timers;
    private volatile boolean draining;
    private boolean looking;

    public Connections(Limits limits, Timers timers) {
        this.limits = limits;
        this.timers = timers;
        timers.after(limits.idle(), this::retire);
    }

    /**
     * Closes those that have been idle, reading a head, or closing, for too long. Undertow's own timers would close
     * upon a request that lies unread on a busy processor, and count by the wall clock.
     */
    private void retire() {
        long next = Math.min(
                retire(Phase.READING_HEAD, limits.head(), CloseReason.HEAD_LIMIT),
                Math.min(
                        retire(Phase.IDLE, limits.idle(), CloseReason.IDLE_LIMIT),
                        retire(Phase.CLOSING, limits.idle(), CloseReason.CLOSING_LIMIT)));
        timers.after(Math.max(MIN_PAUSE, Math.min(MAX_PAUSE, next)), this::retire);
    }

    /** Closes those that have been in this phase for too long; in how many nanoseconds to look again. */
    private long retire(Phase phase, long limit, CloseReason reason) {
        long now = timers.now();
        StreamConnection eldest = eldest(phase);
        while (eldest != null && now - activity(eldest).since() >= limit) {
            closeUnlessAsked(eldest, reason);
            eldest = eldest(phase);
        }
        return eldest == null ? limit : activity(eldest).since() + limit - now;
    }

    /** So many may be accepted at a time, those over the limit included. */
    public int mostAccepted() {
        return limits.open() + SPARE;
    }

    /**
     * Takes a new connection and hands it to whoever reads it.
     *
     * @param waited for how long its first request may have been in the kernel's queue, in nanoseconds
     */
    public void accept(StreamConnection connection, long waited, ChannelListener<? super StreamConnection> reader) {
        if (size() >= limits.open() && !closeOneWithoutRequest() && size() >= mostAccepted()) {
            Metrics.count(Metric.CLIENT_CONNECTIONS_CLOSED, CloseReason.NO_ROOM_UNREAD);
            IoUtils.safeClose(connection);
            return;
        }
        enter(connection, Phase.IDLE);
        if (waited > 0) {
            queuedSince.put(connection, timers.now() - waited);
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(new HeadWatch(source.getConduit(), timers::handlingEvent, () -> headBegins(connection)));
        reader.handleEvent(connection);
        ChannelListener<? super StreamConnection> readers = connection.getCloseListener();
        connection.setCloseListener(c -> {
            closed(connection);
            ChannelListeners.invokeChannelListener(connection, readers);
        });
        if (!connection.isOpen()) {
            closed(connection);
        }
    }

    /**
     * Tells of each read, and of each that brings bytes, whoever reads: Undertow does not say that a head has begun.
     */
    private static final class HeadWatch extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final Runnable reading;
        private final Runnable bytesRead;

        HeadWatch(StreamSourceConduit next, Runnable reading, Runnable bytesRead) {
            super(next);
            this.reading = reading;
            this.bytesRead = bytesRead;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            reading.run();
            int count = super.read(into);
            if (count > 0) {
                bytesRead.run();
            }
            return count;
        }
    }

    private synchronized void headBegins(StreamConnection connection) {
        Activity before = open.get(connection);
        if (before != null && before.is(Phase.IDLE)) {
            enter(connection, Phase.READING_HEAD);
        }
    }

    /** Puts the connection behind all that entered their phase before. */
    private synchronized void enter(StreamConnection connection, Phase phase) {
        open.remove(connection);
        open.put(connection, new Activity(phase, timers.now()));
    }

    private synchronized void closed(StreamConnection connection) {
        open.remove(connection);
        queuedSince.remove(connection);
    }

    /**
     * Told of each request at its start; false if there is no room for its connection, and it must be refused. A
     * connection left waiting to be accepted would be worse: its request counts as taken and gets no answer.
     */
    public boolean serving(HttpServerExchange exchange) {
        StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
        synchronized (this) {
            open.replace(connection, new Activity(Phase.SERVING, timers.now()));
            Long since = queuedSince.remove(connection);
            if (since != null) {
                ClientExchange.noteQueued(exchange, timers.now() - since);
            }
        }
        boolean room = size() <= limits.open() || closeOneWithoutRequest();
        if (!room) {
            exchange.setPersistent(false);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            if (!done.isPersistent()) {
                enterIfOpen(connection, Phase.CLOSING);
                if (LingeringClose.isNeededBy(done)) {
                    LingeringClose.begin(done, timers);
                } else {
                    next.proceed();
                }
            } else if (((HttpServerConnection) done.getConnection()).getExtraBytes() == null) {
                enterIfOpen(connection, Phase.IDLE);
                next.proceed();
            } else {
                // The next request, or a part of it, came early.
                afterOthers(connection, () -> {
                    enterIfOpen(connection, Phase.READING_HEAD);
                    next.proceed();
                });
            }
        });
        return room;
    }

    /**
     * Lets the I/O thread look at all sockets before it goes on with this connection, whose client takes what it got.
     * Undertow would queue the next request as a task, and XNIO looks at no socket and no timer while tasks are left:
     * 600 requests sent at once kept lists and streams waiting for over a second.
     */
    private static void afterOthers(StreamConnection connection, Runnable next) {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        sink.setWriteListener(c -> {
            sink.suspendWrites();
            sink.setWriteListener(null);
            next.run();
        });
        sink.resumeWrites();
    }

    private synchronized void enterIfOpen(StreamConnection connection, Phase phase) {
        if (open.containsKey(connection)) {
            enter(connection, phase);
        }
    }

    /**
     * Closes one on which no request has come, idle ones first. False if there is none, or if this is just being done:
     * a request that was found by it needs no second look.
     */
    private boolean closeOneWithoutRequest() {
        if (looking) {
            return false;
        }
        looking = true;
        try {
            return closeEldest(Phase.IDLE) || closeEldest(Phase.CLOSING) || closeEldest(Phase.READING_HEAD);
        } finally {
            looking = false;
        }
    }

    private boolean closeEldest(Phase phase) {
        // Each look closes the eldest, or finds that another is the eldest now.
        for (int looks = size(); looks > 0; looks--) {
            StreamConnection eldest = eldest(phase);
            if (eldest == null || closeUnlessAsked(eldest, CloseReason.NO_ROOM)) {
                return eldest != null;
            }
        }
        return false;
    }

    /** The one that has been in the phase for longest, null if none is in it. */
    private synchronized StreamConnection eldest(Phase phase) {
        for (Map.Entry<StreamConnection, Activity> entry : open.entrySet()) {
            if (entry.getValue().is(phase)) {
                return entry.getKey();
            }
        }
        return null;
    }

    /** Null if it is closed. */
    private synchronized Activity activity(StreamConnection connection) {
        return open.get(connection);
    }

    /**
     * Closes a connection without a request, unless more of one has come and was not read yet: on a busy processor it
     * can lie there for half a second, and the client that wrote it is owed an answer. False if it has.
     */
    private boolean closeUnlessAsked(StreamConnection connection, CloseReason reason) {
        Activity before = activity(connection);
        if (before == null || before.is(Phase.SERVING)) {
            return false;
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (connection.isOpen() && activity(connection) != before) {
            return false;
        }
        Activity last = activity(connection);
        Invariant.ANSWERED_BEFORE_CLOSE.holds(
                last == null || !last.is(Phase.SERVING), connection::toString, "closed for " + reason);
        closed(connection);
        Metrics.count(Metric.CLIENT_CONNECTIONS_CLOSED, reason);
        IoUtils.safeClose(connection);
        return true;
    }

    private void closeIfDone(StreamConnection connection) {
        Activity now = activity(connection);
        if (now != null && (now.is(Phase.IDLE) || now.is(Phase.CLOSING))) {
            closeUnlessAsked(connection, CloseReason.PLANNED_END);
        }
    }

    /** From here on each connection closes with its answer. */
    public void drain() {
        draining = true;
    }

    /**
     * Closes those that are idle or closing; how many are left, reading a head or serving. To be called on the thread
     * that reads them.
     */
    public int closeIdle() {
        List<StreamConnection> all;
        synchronized (this) {
            all = new ArrayList<>(open.keySet());
        }
        all.forEach(this::closeIfDone);
        return size();
    }

    private synchronized int size() {
        return open.size();
    }
}
