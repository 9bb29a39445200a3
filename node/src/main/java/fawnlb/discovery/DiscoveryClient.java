package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import fawnlb.proxy.EndpointWatch;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/** The list's actor: fetches the whole list, and watches its changes on a connection that stays open. */
public final class DiscoveryClient implements EndpointWatch {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    static final long CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND;
    /** Calls wait their turn at a service that all nodes share; it refuses them after 2 s, says the operators' page. */
    static final long RESPONSE_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2;
    /** A watch says something as often as this, if only an empty line. */
    private static final long HEARTBEAT_INTERVAL_NANOS = 2 * NANOS_PER_SECOND;
    /** How late a heartbeat may be: it was never seen to be later than 50 ms. */
    private static final long HEARTBEAT_TOLERANCE_NANOS = NANOS_PER_SECOND / 10;
    /** What came while the I/O thread was busy is read before its timers are believed. */
    private static final long UNREAD_INPUT_GRACE_NANOS = NANOS_PER_SECOND / 20;
    /**
     * After so long a silence another call is made; the watch that is silent stays open until then, and may speak
     * again.
     */
    static final long WATCH_SILENCE_TIMEOUT_NANOS =
            HEARTBEAT_INTERVAL_NANOS + HEARTBEAT_TOLERANCE_NANOS + UNREAD_INPUT_GRACE_NANOS;
    /** A call that is refused after so long has waited for its turn. */
    private static final long MIN_QUEUED_NANOS = NANOS_PER_SECOND;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long FAILURE_LOG_INTERVAL_NANOS = 10 * NANOS_PER_SECOND;
    /** Enough for some 20,000 members. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private final XnioIoThread ioThread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final Listener listener;
    private InetSocketAddress address;
    private long revision;
    private DiscoveryCall activeWatch;
    private String lastLoggedFailure = "";
    private long lastLoggedAt;
    private int suppressedFailures;
    private int consecutiveFailures;
    private long failingSince;

    /** Hears what discovery says. */
    @FunctionalInterface
    public interface Listener {
        /** A list, or a failed call with the list {@code null}. */
        void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList list);

        /** Nothing has changed since the last list. */
        default void onHeartbeat() {}
    }

    public DiscoveryClient(
            XnioIoThread ioThread, Timers timers, Mailbox mailbox, InetSocketAddress address, Listener listener) {
        this.ioThread = ioThread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.address = address;
        this.listener = listener;
    }

    /** The list as this node last had it, before any is asked for. */
    public void startFromCachedList(EndpointList cachedList) {
        mailbox.tellAlways(() -> {
            revision = cachedList.revision();
            listener.onDiscoveryUpdate(EndpointUpdateKind.CACHED, cachedList);
        });
    }

    /**
     * From here on the list comes from another address. A watch goes over at once, whether it lives or waits to be
     * opened again: what changes from now on counts as told soon, and the old address says nothing of it.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        mailbox.tellAlways(() -> {
            if (!newAddress.equals(address)) {
                LOG.info("discovery moves from " + address + " to " + newAddress);
                address = newAddress;
                if (activeWatch != null) {
                    reopenWatch();
                }
            }
        });
    }

    @Override
    public void watchEndpoints() {
        mailbox.tellAlways(() -> {
            // A call that a move has made keeps its turn at the new address; a limit of its own ends it.
            if (activeWatch == null || !activeWatch.isAwaitingAnswer()) {
                reopenWatch();
            }
        });
    }

    private void reopenWatch() {
        if (activeWatch != null) {
            activeWatch.close();
        }
        activeWatch = new DiscoveryCall("/registry/instances?watch=1&from=" + revision, true);
        activeWatch.start();
    }

    @Override
    public void fetchEndpoints() {
        mailbox.tell(() -> new DiscoveryCall("/registry/instances", false).start());
    }

    private void applyList(String text, boolean isWatch) throws IOException {
        EndpointList list = EndpointListCodec.parse(text);
        if (isWatch && !list.complete() && list.revision() < revision) {
            // Changes older than what is held would undo newer ones. Whoever sends them counts anew: ask for the whole
            // list.
            long heldRevision = revision;
            revision = 0;
            throw new IOException("revision " + list.revision() + " after " + heldRevision);
        }
        // A whole list stands for itself: a service that starts anew, or one moved to, may count from lower.
        revision = list.complete() && isWatch ? list.revision() : Math.max(revision, list.revision());
        listener.onDiscoveryUpdate(list.complete() ? EndpointUpdateKind.FULL : EndpointUpdateKind.DELTA, list);
    }

    /** A discovery that stays away fails many calls in the same way; a line for each would hide all others. */
    private void logFailure(String failure) {
        failingSince = consecutiveFailures++ == 0 ? timers.now() : failingSince;
        if (failure.equals(lastLoggedFailure) && timers.now() - lastLoggedAt < FAILURE_LOG_INTERVAL_NANOS) {
            suppressedFailures++;
            return;
        }
        LOG.info("discovery: " + failure
                + (suppressedFailures > 0
                        ? "; " + suppressedFailures + " more calls failed since the last such line"
                        : ""));
        lastLoggedFailure = failure;
        lastLoggedAt = timers.now();
        suppressedFailures = 0;
    }

    /** A watch lives: what is heard from here on is discovery's present word. */
    private void logRecovery() {
        if (consecutiveFailures > 0) {
            LOG.info("discovery: answered at revision " + revision + " after " + consecutiveFailures
                    + " failed calls in " + (timers.now() - failingSince) / NANOS_PER_MILLISECOND + " ms");
        }
        consecutiveFailures = 0;
        lastLoggedFailure = "";
    }

    /** One call: a watch, or a fetch of the whole list. */
    private final class DiscoveryCall implements HttpClientConnection.ResponseHandler {
        private final String path;
        private final boolean isWatch;
        private final WatchEventReader reader = new WatchEventReader(MAX_LIST_BYTES);
        private final List<String> fetchedLists = new ArrayList<>();
        private HttpClientConnection connection;
        private Timers.Timer timeoutTimer;
        private long startedAt;
        private boolean closed;
        private boolean answered;
        private boolean silent;

        DiscoveryCall(String path, boolean isWatch) {
            this.path = path;
            this.isWatch = isWatch;
        }

        void start() {
            startedAt = timers.now();
            armResponseTimeout();
            HttpClientConnection.connect(ioThread, timers, address, CONNECT_TIMEOUT_NANOS, opened -> {
                connection = opened;
                if (opened == null) {
                    fail("no connection");
                } else if (closed) {
                    opened.close();
                } else {
                    opened.send(
                            this,
                            ByteBuffer.wrap(("GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ':'
                                            + address.getPort() + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1)));
                }
            });
        }

        /** Whether it is a call that was neither answered nor has failed. */
        boolean isAwaitingAnswer() {
            return !closed && !answered;
        }

        private void armResponseTimeout() {
            armTimeout(RESPONSE_TIMEOUT_NANOS, () -> fail("silent", EndpointUpdateKind.TIMED_OUT));
        }

        /** The next heartbeat, or the rest of a line, is due. */
        private void armHeartbeatTimeout() {
            armTimeout(
                    WATCH_SILENCE_TIMEOUT_NANOS - UNREAD_INPUT_GRACE_NANOS,
                    () -> armTimeout(UNREAD_INPUT_GRACE_NANOS, this::onHeartbeatMissed));
        }

        /** One timer for a call: the last one that was set counts. */
        private void armTimeout(long delayNanos, Runnable action) {
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
            }
            timeoutTimer = timers.schedule(delayNanos, () -> mailbox.tellAlways(action));
        }

        /**
         * Counts as a call that failed, so that the next one is made; drops nothing, for a false alarm costs nothing
         * then.
         */
        private void onHeartbeatMissed() {
            if (!answered) {
                fail("silent");
            } else if (!closed && !silent) {
                silent = true;
                logFailure("watch silent");
                listener.onDiscoveryUpdate(EndpointUpdateKind.FAILED, null);
            }
        }

        /** Told again before another call was made: nothing was missed. */
        private void onWatchResumed() {
            if (silent) {
                silent = false;
                logRecovery();
                listener.onDiscoveryUpdate(EndpointUpdateKind.DELTA, new EndpointList(revision, false, List.of()));
            }
        }

        private void onFirstAnswer() {
            if (!answered) {
                answered = true;
                Metrics.increment(Metric.DISCOVERY_CALLS, "answered");
                logRecovery();
            }
        }

        @Override
        public void onHead(ResponseHead response) {
            if (response.status() != 200) {
                boolean hadQueued =
                        response.status() == SERVICE_UNAVAILABLE && timers.now() - startedAt >= MIN_QUEUED_NANOS;
                fail(
                        "status " + response.status(),
                        hadQueued ? EndpointUpdateKind.THROTTLED : EndpointUpdateKind.FAILED);
            }
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (closed) {
                return;
            }
            if (isWatch) {
                armHeartbeatTimeout();
                onWatchResumed();
            }
            try {
                for (String text : reader.read(bytes)) {
                    if (text.equals(WatchEventReader.HEARTBEAT) && (!isWatch || answered)) {
                        listener.onHeartbeat();
                    } else if (!isWatch) {
                        fetchedLists.add(text);
                    } else if (!text.equals(WatchEventReader.HEARTBEAT)) {
                        applyList(text, true);
                        onFirstAnswer();
                    } else {
                        // Nothing has changed since the version that was asked from: that is an answer too.
                        listener.onDiscoveryUpdate(
                                EndpointUpdateKind.DELTA, new EndpointList(revision, false, List.of()));
                        onFirstAnswer();
                    }
                }
                connection.resumeReading();
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        @Override
        public void onComplete(boolean reusable) {
            try {
                if (isWatch) {
                    fail("ended");
                } else if (!closed) {
                    if (reader.isWithinObject() || fetchedLists.size() != 1) {
                        throw new IOException("expected one whole list");
                    }
                    applyList(fetchedLists.get(0), false);
                    close();
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure reason) {
            fail("broken");
        }

        private void fail(String reason) {
            fail(reason, EndpointUpdateKind.FAILED);
        }

        private void fail(String reason, EndpointUpdateKind kind) {
            if (!closed) {
                close();
                Metrics.increment(Metric.DISCOVERY_CALLS, resultLabel(kind));
                logFailure((isWatch ? "watch " : "fetch ") + reason);
                listener.onDiscoveryUpdate(kind, null);
            }
        }

        /** The value of the metric's label, which stays whatever the constants are called. */
        private static String resultLabel(EndpointUpdateKind kind) {
            return switch (kind) {
                case THROTTLED -> "crowded";
                case TIMED_OUT -> "unanswered";
                default -> "failed";
            };
        }

        void close() {
            closed = true;
            timeoutTimer.cancel();
            if (connection != null) {
                connection.close();
            }
        }
    }
}
