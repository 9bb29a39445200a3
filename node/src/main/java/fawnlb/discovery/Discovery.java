package fawnlb.discovery;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.flow.Roster;
import fawnlb.http.Connection;
import fawnlb.http.Response;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/** The list's actor: fetches the whole list, and watches its changes on a connection that stays open. */
public final class Discovery implements Roster {
    private static final Logger LOG = Logger.getLogger(Discovery.class.getName());
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLISECOND = 1_000_000;
    static final long CONNECT = SECOND;
    /** Calls wait their turn at a service that all nodes share; it refuses them after 2 s, says the operators' page. */
    static final long ANSWER = 2 * SECOND + SECOND / 2;
    /** A watch says something as often as this, if only an empty line. */
    private static final long HEARTBEAT = 2 * SECOND;
    /** How late a heartbeat may be: it was never seen to be later than 50 ms. */
    private static final long HEARTBEAT_SLACK = SECOND / 10;
    /** What came while the I/O thread was busy is read before its timers are believed. */
    private static final long SECOND_LOOK = SECOND / 20;
    /**
     * After so long a silence another call is made; the watch that is silent stays open until then, and may speak
     * again.
     */
    static final long SILENCE = HEARTBEAT + HEARTBEAT_SLACK + SECOND_LOOK;
    /** A call that is refused after so long has waited for its turn. */
    private static final long WAITED = SECOND;

    private static final int UNAVAILABLE = 503;
    private static final long SAY_AGAIN = 10 * SECOND;
    /** Enough for some 20,000 members. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final Subscriber subscriber;
    private InetSocketAddress address;
    private long revision;
    private Watch watch;
    private String said = "";
    private long saidAt;
    private int unsaid;
    private int failedCalls;
    private long failingSince;

    /** Hears what discovery says. */
    @FunctionalInterface
    public interface Subscriber {
        /** A list, or a failed call with the list {@code null}. */
        void heard(ListKind kind, MemberList list);

        /** Nothing has changed since the last list. */
        default void heartbeat() {}
    }

    public Discovery(
            XnioIoThread thread, Timers timers, Mailbox mailbox, InetSocketAddress address, Subscriber subscriber) {
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.address = address;
        this.subscriber = subscriber;
    }

    /** The list as this node last had it, before any is asked for. */
    public void known(MemberList list) {
        mailbox.tellAlways(() -> {
            revision = list.revision();
            subscriber.heard(ListKind.CACHED, list);
        });
    }

    /**
     * From here on the list comes from another address. A watch goes over at once, whether it lives or waits to be
     * opened again: what changes from now on counts as told soon, and the old address says nothing of it.
     */
    public void move(InetSocketAddress to) {
        mailbox.tellAlways(() -> {
            if (!to.equals(address)) {
                LOG.info("discovery moves from " + address + " to " + to);
                address = to;
                if (watch != null) {
                    watchAgain();
                }
            }
        });
    }

    @Override
    public void subscribe() {
        mailbox.tellAlways(() -> {
            // A call that a move has made keeps its turn at the new address; a limit of its own ends it.
            if (watch == null || !watch.isCallOut()) {
                watchAgain();
            }
        });
    }

    private void watchAgain() {
        if (watch != null) {
            watch.drop();
        }
        watch = new Watch("/registry/instances?watch=1&from=" + revision, true);
        watch.begin();
    }

    @Override
    public void fetch() {
        mailbox.tell(() -> new Watch("/registry/instances", false).begin());
    }

    private void line(String text, boolean watching) throws IOException {
        MemberList list = MemberList.parse(text);
        if (watching && !list.complete() && list.revision() < revision) {
            // Changes older than what is held would undo newer ones. Whoever sends them counts anew: ask for the whole
            // list.
            long held = revision;
            revision = 0;
            throw new IOException("revision " + list.revision() + " after " + held);
        }
        // A whole list stands for itself: a service that starts anew, or one moved to, may count from lower.
        revision = list.complete() && watching ? list.revision() : Math.max(revision, list.revision());
        subscriber.heard(list.complete() ? ListKind.FULL : ListKind.DELTA, list);
    }

    /** A discovery that stays away fails many calls in the same way; a line for each would hide all others. */
    private void say(String fault) {
        failingSince = failedCalls++ == 0 ? timers.now() : failingSince;
        if (fault.equals(said) && timers.now() - saidAt < SAY_AGAIN) {
            unsaid++;
            return;
        }
        LOG.info("discovery: " + fault
                + (unsaid > 0 ? "; " + unsaid + " more calls failed since the last such line" : ""));
        said = fault;
        saidAt = timers.now();
        unsaid = 0;
    }

    /** A watch lives: what is heard from here on is discovery's present word. */
    private void sayAnswered() {
        if (failedCalls > 0) {
            LOG.info("discovery: answered at revision " + revision + " after " + failedCalls + " failed calls in "
                    + (timers.now() - failingSince) / MILLISECOND + " ms");
        }
        failedCalls = 0;
        said = "";
    }

    /** One call: a watch, or a fetch of the whole list. */
    private final class Watch implements Connection.Call {
        private final String path;
        private final boolean watching;
        private final ListReader reader = new ListReader(MAX_LIST_BYTES);
        private final List<String> fetched = new ArrayList<>();
        private Connection connection;
        private Timers.Timer patience;
        private long begunAt;
        private boolean done;
        private boolean told;
        private boolean silent;

        Watch(String path, boolean watching) {
            this.path = path;
            this.watching = watching;
        }

        void begin() {
            begunAt = timers.now();
            expectAnswer();
            Connection.open(thread, timers, address, CONNECT, opened -> {
                connection = opened;
                if (opened == null) {
                    fail("no connection");
                } else if (done) {
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
        boolean isCallOut() {
            return !done && !told;
        }

        private void expectAnswer() {
            wakeAfter(ANSWER, () -> fail("silent", ListKind.UNANSWERED));
        }

        /** The next heartbeat, or the rest of a line, is due. */
        private void expectHeartbeat() {
            wakeAfter(SILENCE - SECOND_LOOK, () -> wakeAfter(SECOND_LOOK, this::missesHeartbeat));
        }

        /** One timer for a call: the last one that was set counts. */
        private void wakeAfter(long time, Runnable then) {
            if (patience != null) {
                patience.cancel();
            }
            patience = timers.after(time, () -> mailbox.tellAlways(then));
        }

        /**
         * Counts as a call that failed, so that the next one is made; drops nothing, for a false alarm costs nothing
         * then.
         */
        private void missesHeartbeat() {
            if (!told) {
                fail("silent");
            } else if (!done && !silent) {
                silent = true;
                say("watch silent");
                subscriber.heard(ListKind.FAILED, null);
            }
        }

        /** Told again before another call was made: nothing was missed. */
        private void speaksAgain() {
            if (silent) {
                silent = false;
                sayAnswered();
                subscriber.heard(ListKind.DELTA, new MemberList(revision, false, List.of()));
            }
        }

        private void hearsFirstWord() {
            if (!told) {
                told = true;
                Metrics.count(Metric.DISCOVERY_CALLS, "answered");
                sayAnswered();
            }
        }

        @Override
        public void head(Response response) {
            if (response.status() != 200) {
                boolean hadWaited = response.status() == UNAVAILABLE && timers.now() - begunAt >= WAITED;
                fail("status " + response.status(), hadWaited ? ListKind.CROWDED : ListKind.FAILED);
            }
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (done) {
                return;
            }
            if (watching) {
                expectHeartbeat();
                speaksAgain();
            }
            try {
                for (String text : reader.feed(bytes)) {
                    if (text.equals(ListReader.HEARTBEAT) && (!watching || told)) {
                        subscriber.heartbeat();
                    } else if (!watching) {
                        fetched.add(text);
                    } else if (!text.equals(ListReader.HEARTBEAT)) {
                        line(text, true);
                        hearsFirstWord();
                    } else {
                        // Nothing has changed since the version that was asked from: that is an answer too.
                        subscriber.heard(ListKind.DELTA, new MemberList(revision, false, List.of()));
                        hearsFirstWord();
                    }
                }
                connection.more();
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        @Override
        public void end(boolean reusable) {
            try {
                if (watching) {
                    fail("ended");
                } else if (!done) {
                    if (reader.isWithinObject() || fetched.size() != 1) {
                        throw new IOException("expected one whole list");
                    }
                    line(fetched.get(0), false);
                    drop();
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        @Override
        public void broken(Connection.Break how) {
            fail("broken");
        }

        private void fail(String why) {
            fail(why, ListKind.FAILED);
        }

        private void fail(String why, ListKind kind) {
            if (!done) {
                drop();
                Metrics.count(Metric.DISCOVERY_CALLS, resultLabel(kind));
                say((watching ? "watch " : "fetch ") + why);
                subscriber.heard(kind, null);
            }
        }

        /** The value of the metric's label, which stays whatever the constants are called. */
        private static String resultLabel(ListKind kind) {
            return switch (kind) {
                case CROWDED -> "crowded";
                case UNANSWERED -> "unanswered";
                default -> "failed";
            };
        }

        void drop() {
            done = true;
            patience.cancel();
            if (connection != null) {
                connection.close();
            }
        }
    }
}
