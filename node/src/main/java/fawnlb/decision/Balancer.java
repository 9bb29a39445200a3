package fawnlb.decision;

import java.util.List;

/**
 * The interface between a router and its decision module: what the router tells it (events) and what it may ask for in
 * return (actions). Times are nanoseconds on one clock of the host's choosing that never goes back. A host calls
 * {@link #on} from one thread; actions reach the sink that it gave at construction, in the order in which they are to
 * be carried out.
 */
public interface Balancer {

    /** Tells the module one event. The time is that of the event and of every action it causes. */
    void on(long now, Event event);

    /** Makes the module of one router. */
    @FunctionalInterface
    interface Maker {
        Balancer make(Settings settings, long seed, Sink sink);
    }

    /** Where the module's actions go. */
    @FunctionalInterface
    interface Sink {
        void act(Action action);
    }

    // ---- Settings -------------------------------------------------------------------------------------

    /** May a request be run more than once? KEYED: only by replicas of one group, within a window. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which replicas drop repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How changes of the replica list arrive: unasked, or only after asking. */
    enum Discovery {
        PUSHED,
        ASKED
    }

    /** Where replicas report their load: nowhere, with each outcome, or with probes alone. */
    enum Reports {
        NONE,
        ANSWERS,
        PROBES
    }

    /** A class of request. {@code aimPerToken} is added to {@code aim} for each token of the prompt. */
    record RequestClass(
            Effect effect,
            Group group,
            long window,
            long aim,
            double aimPerToken,
            long deadline,
            long tokenAim,
            double worth,
            double lateWorth,
            boolean stream) {
        /** What is believed of a class that the settings don't name: it may run once, and has no aim. */
        private static final RequestClass UNKNOWN =
                new RequestClass(Effect.UNSAFE, Group.CELL, 0, Long.MAX_VALUE, 0, Long.MAX_VALUE, 0, 1, 0, false);

        /**
         * Whether a request may be refused, after which its client may ask again; given whether an attempt may have
         * run.
         */
        public boolean refusable(boolean mayHaveRun) {
            return !mayHaveRun || effect == Effect.SAFE || effect == Effect.KEYED && group == Group.ALL;
        }
    }

    /** A tenant: its part of the service, and the requests a second, over all routers, within it. */
    record Tenant(double share, double quota) {}

    /** What the site allows. */
    record Limits(
            int attempts,
            int open,
            boolean secondCopies,
            boolean cancel,
            boolean probes,
            boolean peers,
            long maxRetryAfter) {}

    /**
     * Figures of the drain and cold-start rules. A warming replica sent over {@code tipMultiple} times its present
     * capacity for {@code fall} falls over. {@code askWithin}: see {@link Discovery#ASKED}.
     */
    record Rules(long drainGrace, long askWithin, double coldFrom, long cold, double tipMultiple, long fall) {}

    /** What the site counts against us: an attempt that leaves its zone, and work that served no answer. */
    record Costs(double crossZone, double waste) {}

    /** What the numbers of classes, tenants, zones and kinds stand for; a real node meets them by name. */
    record Names(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {}

    /** Times of connections to replicas: until one is up, and until an idle one is closed by the replica. */
    record Connections(long timeout, long idle) {}

    /** Start settings of one router: its number, how many routers there are, its zone, and the rest. */
    record Settings(
            int me,
            int routers,
            int zone,
            long tick,
            boolean resume,
            Discovery discovery,
            Reports reports,
            List<String> reportFields,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Costs costs,
            Names names,
            Connections connections) {

        /** Settings of a module without a real node round it. */
        public Settings(
                int me,
                int routers,
                int zone,
                long tick,
                boolean resume,
                Discovery discovery,
                Reports reports,
                List<String> reportFields,
                List<RequestClass> classes,
                List<Tenant> tenants,
                Limits limits,
                Rules rules,
                Costs costs) {
            this(
                    me,
                    routers,
                    zone,
                    tick,
                    resume,
                    discovery,
                    reports,
                    reportFields,
                    classes,
                    tenants,
                    limits,
                    rules,
                    costs,
                    new Names(List.of(), List.of(), List.of(), List.of()),
                    new Connections(0, 0));
        }

        /** The class with this number, or the most careful one if there is none. */
        public RequestClass requestClass(int type) {
            return type >= 0 && type < classes.size() ? classes.get(type) : RequestClass.UNKNOWN;
        }

        /** The same for a host whose list has to be asked for, wherever it comes from. */
        public Settings asked() {
            return new Settings(
                    me,
                    routers,
                    zone,
                    tick,
                    resume,
                    Discovery.ASKED,
                    reports,
                    reportFields,
                    classes,
                    tenants,
                    limits,
                    rules,
                    costs,
                    names,
                    connections);
        }
    }

    // ---- Events ---------------------------------------------------------------------------------------

    /** Anything the router tells the module. */
    sealed interface Event permits Listed, Request, Started, Ended, ClientGone, Probed, PeerMessage, TimerDue {}

    /**
     * What a list event brings: changed entries, the whole list, the list as last held; nothing, since a call or
     * subscription failed, had waited for its turn and was refused, or was never answered; or what a view between the
     * list and the module has changed, which says nothing of whether the list is followed.
     */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED,
        CROWDED,
        UNANSWERED,
        VIEW;

        /** Whether nothing came, and the old list stands. */
        public boolean failed() {
            return this == FAILED || this == CROWDED || this == UNANSWERED;
        }
    }

    /** A replica's state in the list. */
    enum Phase {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A replica as listed. {@code readyAt}: when it last started, 0 if long ago; {@code room}: how many of this
     * router's requests may await their first token there, {@link #ALL} where nothing limits them.
     */
    record Replica(long id, Phase phase, long readyAt, double size, int zone, int cell, int kind, int room) {
        public static final int ALL = Integer.MAX_VALUE;

        /** A replica as discovery lists it. */
        public Replica(long id, Phase phase, long readyAt, double size, int zone, int cell, int kind) {
            this(id, phase, readyAt, size, zone, cell, kind, ALL);
        }

        public Replica withRoom(int most) {
            return new Replica(id, phase, readyAt, size, zone, cell, kind, most);
        }

        public Replica gone() {
            return new Replica(id, Phase.GONE, readyAt, size, zone, cell, kind, room);
        }
    }

    /** News of the replica list. */
    record Listed(ListKind kind, long version, List<Replica> replicas) implements Event {}

    /** A client's request, or its next try under a new id. Absent values are 0. */
    record Request(
            long id,
            int type,
            int tenant,
            long session,
            long prefix,
            long expiresIn,
            long workHint,
            double promptTokens,
            double prefixTokens,
            double maxTokens,
            boolean hinted,
            boolean repeat,
            boolean resumed)
            implements Event {}

    /** The answer to an attempt has begun to stream; the client owns the attempt from here. */
    record Started(long request, int attempt, long replica, long took) implements Event {}

    /** How an attempt ended. */
    enum Outcome {
        /** STALLED: its connection stayed open and said nothing for too long, before its start or after. */
        SERVED,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NEVER_SENT,
        STALLED;

        /** Whether the attempt may have taken effect. */
        public boolean mayHaveRun() {
            return this != FULL && this != CONNECT_FAILED && this != NEVER_SENT;
        }
    }

    /**
     * An attempt ended. {@code over}: the request has its final answer; {@code kept}: prompt tokens that the replica
     * still held; {@code load}: its load report in the order of the settings, or empty.
     */
    record Ended(
            long request,
            int attempt,
            long replica,
            Outcome outcome,
            boolean over,
            long took,
            long kept,
            List<Double> load)
            implements Event {}

    /** The client has left; nothing more is owed to it. */
    record ClientGone(long request) implements Event {}

    /** The result of a probe. */
    record Probed(long replica, Outcome outcome, long took, List<Double> load) implements Event {}

    /** A message from another router. */
    record PeerMessage(long from, byte[] body) implements Event {}

    /** A timer that the module set has come due. */
    record TimerDue(int token) implements Event {}

    // ---- Actions --------------------------------------------------------------------------------------

    /** Anything the module asks of the router. */
    sealed interface Action permits Send, Cancel, Refuse, Fail, Timer, Subscribe, Fetch, Probe, Log {}

    /** Start the request's next attempt; attempts are numbered from 0. Dropped at {@code stopAt}. */
    record Send(long request, long replica, long stopAt) implements Action {}

    /** Stop waiting for an attempt. */
    record Cancel(long request, int attempt) implements Action {}

    /** Final answer: refused, and a retry does no harm. {@code retryAfter}: advice to the client, 0 for none. */
    record Refuse(long request, long retryAfter) implements Action {}

    /** Final answer: failed, with no word on what it did. */
    record Fail(long request) implements Action {}

    /** Raise {@link TimerDue} at or after the given time. */
    record Timer(long at, int token) implements Action {}

    /** Follow the changes of the replica list from here on. */
    record Subscribe() implements Action {}

    /** Ask once for the whole replica list. */
    record Fetch() implements Action {}

    /** Test a replica. */
    record Probe(long replica) implements Action {}

    /** A line for the log. */
    record Log(String text) implements Action {}
}
