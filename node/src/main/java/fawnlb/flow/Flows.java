package fawnlb.flow;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.metrics.Invariant;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The core: the module's actor and the owner of every flow from taken to its one final answer. It carries out what the
 * module decides and knows nothing of how clients and backends speak.
 */
public final class Flows {
    private static final Logger LOG = Logger.getLogger(Flows.class.getName());
    /** A flow ends so long before its client gives up, for the way back and a late timer. */
    private static final long MARGIN = 10_000_000;
    /** If the module has no answer by then, the core gives one: a flow is never left open. */
    private static final long LAST_CALL = 25_000_000;
    /** A request may have waited unread for so long without anybody counting it. */
    private static final long UNCOUNTED_WAIT = 100_000_000;

    private static final long DEFAULT_RETRY_AFTER = 1_000_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long MILLISECOND = 1_000_000;

    /**
     * A planned end answers by then what has not begun to be answered, in nanoseconds: the operators kill the process
     * 3.7 s after SIGTERM at the soonest, however long the deadlines are.
     */
    static final long PLANNED_END = 3_200_000_000L;

    private final Balancer.Settings settings;
    private final Balancer balancer;
    private final Mailbox mailbox;
    private final Timers timers;
    private final Backends backends;
    private final Roster roster;
    private final Map<Long, Flow> flows = new HashMap<>();
    private long lastId;
    private long endBy = NEVER;
    private volatile int open;
    private volatile boolean closed;

    public Flows(
            Balancer.Settings settings,
            long seed,
            Balancer.Maker maker,
            Mailbox mailbox,
            Timers timers,
            Backends backends,
            Roster roster) {
        this.settings = settings;
        this.mailbox = mailbox;
        this.timers = timers;
        this.backends = backends;
        this.roster = roster;
        this.balancer = maker.make(settings, seed, this::act);
    }

    /** What a front keeps of a flow that it handed in. */
    public interface Ticket {
        /** The client has left; nothing more is owed to it. */
        void gone();
    }

    private static final class Flow {
        final long id;
        final Ask ask;
        final ClientConnection client;
        final long deadline;
        Timers.Timer lastCall;
        boolean over;
        int attempts;
        Ending last;
        Out out;
        /** When the first attempt that may have run was sent. */
        long ranFrom = NEVER;

        Flow(long id, Ask ask, ClientConnection client, long deadline) {
            this.id = id;
            this.ask = ask;
            this.client = client;
            this.deadline = deadline;
        }
    }

    /** The one attempt of a flow that is out. */
    private static final class Out {
        final int number;
        final long backend;
        final long sentAt;
        Backends.Attempt attempt;
        Timers.Timer stop;
        boolean streaming;
        boolean rejected;
        boolean parked;

        Out(int number, long backend, long sentAt) {
            this.number = number;
            this.backend = backend;
            this.sentAt = sentAt;
        }
    }

    /** Flows without their final answer or with an attempt still out. */
    public int open() {
        return open;
    }

    /** The process is to end: what still waits for an answer to begin gets one soon, whatever the backends do. */
    public void beginPlannedEnd() {
        mailbox.tellAlways(() -> {
            endBy = timers.now() + PLANNED_END;
            flows.values().stream().filter(flow -> !flow.over).forEach(flow -> {
                flow.lastCall.cancel();
                armLastCall(flow);
            });
        });
    }

    private void armLastCall(Flow flow) {
        flow.lastCall = timers.after(
                Math.min(flow.deadline + LAST_CALL, endBy) - timers.now(),
                () -> mailbox.tellOrFail(() -> lastCall(flow), () -> abandon(flow)));
    }

    /** From here on no flow is taken: the node ends, and may not be given the time for its stream. */
    public void takeNoMore() {
        closed = true;
    }

    /** Takes a flow; null if there is no room for one more, and the front must refuse it. */
    public Ticket take(Ask ask, ClientConnection client) {
        // Its time runs from its arrival: on a busy thread it has waited, and a backend must not be told of time that
        // has passed.
        long taken = timers.now() - Math.max(0, Math.max(timers.eventAge(), client.queued()) - UNCOUNTED_WAIT);
        Ticket[] ticket = new Ticket[1];
        Flow[] flow = new Flow[1];
        boolean room = !closed
                && open < settings.limits().open()
                && mailbox.tell(() -> flow[0] = begin(ask, client, taken), () -> abandon(flows.get(lastId)));
        ticket[0] = () -> mailbox.tellAlways(() -> gone(flow[0]));
        return room ? ticket[0] : null;
    }

    /** News of the list, in the order in which it came. */
    public void listed(Balancer.Listed news) {
        mailbox.tellAlways(() -> tell(news));
    }

    private void tell(Balancer.Event event) {
        balancer.on(timers.now(), event);
    }

    private Flow begin(Ask ask, ClientConnection client, long taken) {
        long patience = Math.max(0, ask.patience() - MARGIN);
        Flow flow = new Flow(++lastId, ask, client, taken + patience);
        flows.put(flow.id, flow);
        open = flows.size();
        armLastCall(flow);
        tell(new Balancer.Request(
                flow.id,
                ask.type(),
                ask.tenant(),
                ask.session(),
                ask.prefix(),
                Math.max(0, flow.deadline - timers.now()),
                0,
                ask.promptTokens(),
                ask.prefixTokens(),
                ask.maxTokens(),
                false,
                ask.repeat(),
                false));
        return flow;
    }

    private void gone(Flow flow) {
        if (flow == null || flow.over && flow.out == null) {
            return;
        }
        boolean owed = !flow.over;
        LOG.fine(() -> name(flow) + ": the client has left" + (owed ? ", no answer is owed" : ""));
        close(flow);
        if (owed) {
            tell(new Balancer.ClientGone(flow.id));
        }
        stop(flow, End.READER_LEFT);
    }

    private void lastCall(Flow flow) {
        if (!flow.over) {
            LOG.warning(name(flow)
                    + (timers.now() < endBy ? " had no answer at its deadline" : " is answered since the process ends")
                    + ", after " + flow.attempts + " attempt(s)" + (flow.out == null ? "" : ", one of them still out"));
            boolean harmless = type(flow).refusable(flow.out != null || flow.ranFrom != NEVER);
            finish(flow, () -> {
                if (harmless) {
                    flow.client.refused(flow.last, retryAfter(0));
                } else {
                    flow.client.failed(flow.last);
                }
            });
            tell(new Balancer.ClientGone(flow.id));
        }
    }

    /** Something threw that nobody expected while this flow was dealt with: it is answered, and no other is held up. */
    private void abandon(Flow flow) {
        finish(flow, () -> flow.client.failed(flow.last));
    }

    /** Gives the final answer, unless it has been given, and ends what is still out. */
    private void finish(Flow flow, Runnable answer) {
        if (flow == null || flow.over) {
            return;
        }
        close(flow);
        answer.run();
        stop(flow, End.CALLED_OFF);
    }

    private void close(Flow flow) {
        flow.over = true;
        flow.lastCall.cancel();
        forget(flow);
    }

    private void forget(Flow flow) {
        if (flow.over && flow.out == null) {
            flows.remove(flow.id);
            open = flows.size();
        }
    }

    private void stop(Flow flow, End end) {
        if (flow.out != null && flow.out.attempt != null) {
            flow.out.attempt.stop(end);
        }
    }

    private long retryAfter(long advice) {
        long given = advice > 0 ? advice : settings.limits().maxRetryAfter();
        return given > 0 ? given : DEFAULT_RETRY_AFTER;
    }

    // ---- What the module asks for ---------------------------------------------------------------------

    private void act(Balancer.Action action) {
        if (action instanceof Balancer.Send a) {
            send(a);
        } else if (action instanceof Balancer.Cancel a) {
            Flow flow = flows.get(a.request());
            if (flow != null && flow.out != null && flow.out.number == a.attempt() && !flow.out.streaming) {
                stop(flow, End.CALLED_OFF);
            }
        } else if (action instanceof Balancer.Refuse a) {
            refuse(flows.get(a.request()), a.retryAfter());
        } else if (action instanceof Balancer.Fail a) {
            Flow flow = flows.get(a.request());
            finish(flow, () -> flow.client.failed(flow.last));
        } else if (action instanceof Balancer.Timer a) {
            timers.after(a.at() - timers.now(), () -> mailbox.tellAlways(() -> tell(new Balancer.TimerDue(a.token()))));
        } else if (action instanceof Balancer.Subscribe) {
            roster.subscribe();
        } else if (action instanceof Balancer.Fetch) {
            roster.fetch();
        } else if (action instanceof Balancer.Probe a) {
            long sentAt = timers.now();
            backends.probe(
                    a.replica(),
                    (outcome, load) -> mailbox.tellAlways(
                            () -> tell(new Balancer.Probed(a.replica(), outcome, timers.now() - sentAt, load))));
        } else if (action instanceof Balancer.Log a) {
            LOG.info(a.text());
        }
    }

    /** Refuses the flow where that promises no more than its class allows, and fails it otherwise. */
    private void refuse(Flow flow, long retryAfter) {
        if (flow == null || flow.over) {
            return;
        }
        boolean mayHaveRun = flow.out != null || flow.ranFrom != NEVER;
        if (Invariant.REPEATED_AS_EFFECT_ALLOWS.holds(
                type(flow).refusable(mayHaveRun), () -> name(flow), "refused after it may have run")) {
            finish(flow, () -> flow.client.refused(flow.last, retryAfter(retryAfter)));
        } else {
            finish(flow, () -> flow.client.failed(flow.last));
        }
    }

    private static String name(Flow flow) {
        return "request " + (flow.ask.parcel() == null ? "" : flow.ask.parcel().id()) + " (flow " + flow.id + ')';
    }

    private void send(Balancer.Send send) {
        Flow flow = flows.get(send.request());
        // Never an attempt for a flow that is over, a second one beside another, or one more than allowed.
        if (flow == null
                || flow.over
                || flow.out != null
                || flow.attempts >= settings.limits().attempts()) {
            Invariant.ONE_ATTEMPT_AT_A_TIME.holds(
                    flow == null || flow.over || flow.out == null,
                    () -> name(flow),
                    "another attempt was asked for while one is out");
            int number = flow == null ? 0 : flow.attempts++;
            boolean over = flow == null || flow.over;
            mailbox.tellAlways(() -> tell(new Balancer.Ended(
                    send.request(), number, send.replica(), Outcome.NEVER_SENT, over, 0, 0, List.of())));
            return;
        }
        long now = timers.now();
        long stopAt = send.stopAt() > 0 ? Math.min(send.stopAt(), flow.deadline) : flow.deadline;
        Out out = new Out(flow.attempts++, send.replica(), now);
        LOG.fine(() -> name(flow) + ": attempt " + out.number + " to backend " + out.backend + ", given up in "
                + (stopAt - now) / MILLISECOND + " ms");
        flow.out = out;
        out.stop = timers.after(
                stopAt - now,
                () -> mailbox.tellAlways(() -> {
                    if (flow.out == out && !out.streaming) {
                        stop(flow, End.OUT_OF_TIME);
                    }
                }));
        boolean again = type(flow).effect() == Balancer.Effect.SAFE
                && flow.attempts < settings.limits().attempts();
        out.attempt =
                backends.attempt(send.replica(), flow.ask, stopAt, sendBy(flow), again, new AttemptReport(flow, out));
    }

    /** What becomes of one attempt, handed on to the core's mailbox. */
    private final class AttemptReport implements Backends.Report {
        private final Flow flow;
        private final Out out;

        AttemptReport(Flow flow, Out out) {
            this.flow = flow;
            this.out = out;
        }

        @Override
        public boolean wanted() {
            return !flow.over && flow.client.present();
        }

        @Override
        public void started(Source source) {
            mailbox.tellOrFail(() -> Flows.this.started(flow, out, source), () -> abandon(flow));
        }

        @Override
        public void rejected(Source source) {
            mailbox.tellOrFail(() -> Flows.this.rejected(flow, out, source), () -> abandon(flow));
        }

        @Override
        public void parked() {
            mailbox.tell(() -> Flows.this.parked(flow, out), () -> abandon(flow));
        }

        @Override
        public void ended(Ending ending, long kept, List<Double> load) {
            mailbox.tellOrFail(() -> Flows.this.ended(flow, out, ending, kept, load), () -> abandon(flow));
        }
    }

    private Balancer.RequestClass type(Flow flow) {
        return settings.requestClass(flow.ask.type());
    }

    /** A connect takes its time: a repeat that was decided within the window of a keyed class may be sent behind it. */
    private long sendBy(Flow flow) {
        Balancer.RequestClass type = type(flow);
        return type.effect() == Balancer.Effect.SAFE || flow.ranFrom == NEVER
                ? NEVER
                : flow.ranFrom + type.window() - Backends.MAX_HELD_UP;
    }

    // ---- What becomes of attempts ---------------------------------------------------------------------

    private void started(Flow flow, Out out, Source source) {
        if (flow.out != out || flow.over) {
            return;
        }
        out.streaming = true;
        out.stop.cancel();
        flow.over = true;
        flow.lastCall.cancel();
        flow.client.streaming(source);
        tell(new Balancer.Started(flow.id, out.number, out.backend, timers.now() - out.sentAt));
    }

    /** Neither the backend's merit nor its failure: to the module, the client has taken its request back. */
    private void rejected(Flow flow, Out out, Source source) {
        if (flow.out != out || flow.over) {
            return;
        }
        out.streaming = true;
        out.rejected = true;
        out.stop.cancel();
        flow.over = true;
        flow.lastCall.cancel();
        flow.client.streaming(source);
        tell(new Balancer.ClientGone(flow.id));
    }

    /**
     * To the module the client has taken its request back: it counts requests in flight as work, and hundreds of
     * readers that have stopped would hide from it what is. How the stream ends says nothing of its backend either.
     */
    private void parked(Flow flow, Out out) {
        if (flow.out == out && out.streaming && !out.rejected && !out.parked) {
            out.parked = true;
            tell(new Balancer.Ended(
                    flow.id,
                    out.number,
                    out.backend,
                    Outcome.CANCELLED,
                    true,
                    timers.now() - out.sentAt,
                    0,
                    List.of()));
        }
    }

    private void ended(Flow flow, Out out, Ending ending, long kept, List<Double> load) {
        if (flow.out != out) {
            return;
        }
        LOG.fine(() -> name(flow) + ": attempt " + out.number + " ended " + ending.word());
        flow.out = null;
        flow.last = ending;
        flow.ranFrom = ending.outcome().mayHaveRun() ? Math.min(flow.ranFrom, out.sentAt) : flow.ranFrom;
        out.stop.cancel();
        boolean over = flow.over;
        forget(flow);
        if (out.parked) {
            return;
        }
        Outcome told = out.rejected ? Outcome.CANCELLED : ending.outcome();
        tell(new Balancer.Ended(flow.id, out.number, out.backend, told, over, timers.now() - out.sentAt, kept, load));
    }
}
