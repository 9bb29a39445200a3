package fawnlb.decision;

import java.util.List;

/**
 * The interface between a router and its decision module: what the router tells it (events) and what it may ask for in
 * return (actions). Times are nanoseconds on one clock of the host's choosing that never goes back. A host calls
 * {@link #onEvent} from one thread; actions reach the sink that it gave at construction, in the order in which they are
 * to be carried out.
 */
public interface LoadBalancer {

    /** Tells the module one event. The time is that of the event and of every action it causes. */
    void onEvent(long now, LoadBalancerEvent event);

    /** Makes the module of one router. */
    @FunctionalInterface
    interface Factory {
        LoadBalancer create(LoadBalancerSettings settings, long seed, ActionSink sink);
    }

    /** Where the module's actions go. */
    @FunctionalInterface
    interface ActionSink {
        void perform(LoadBalancerAction action);
    }

    // ---- Settings -------------------------------------------------------------------------------------

    /** May a request be run more than once? KEYED: only by replicas of one group, within a window. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NOT_IDEMPOTENT
    }

    /** Which replicas drop repeats of a keyed request. */
    enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /** How changes of the replica list arrive: unasked, or only after asking. */
    enum DiscoveryMode {
        PUSHED,
        WATCHED
    }

    /** Where replicas report their load: nowhere, with each outcome, or with probes alone. */
    enum LoadReporting {
        NONE,
        WITH_RESPONSES,
        WITH_HEALTH_CHECKS
    }

    /**
     * A class of request. {@code firstTokenObjectivePerPromptTokenNanos} is added to {@code firstTokenObjectiveNanos}
     * for each token of the prompt.
     */
    record RequestClass(
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            long idempotencyWindowNanos,
            long firstTokenObjectiveNanos,
            double firstTokenObjectivePerPromptTokenNanos,
            long deadlineNanos,
            long tokenObjectiveNanos,
            double priorityWeight,
            double lateWeight,
            boolean isStreaming) {
        /** What is believed of a class that the settings don't name: it may run once, and has no aim. */
        private static final RequestClass UNKNOWN = new RequestClass(
                Idempotency.NOT_IDEMPOTENT,
                IdempotencyScope.CELL,
                0,
                Long.MAX_VALUE,
                0,
                Long.MAX_VALUE,
                0,
                1,
                0,
                false);

        /**
         * Whether a request may be refused, after which its client may ask again; given whether an attempt may have
         * run.
         */
        public boolean isRejectable(boolean mayHaveRun) {
            return !mayHaveRun
                    || idempotency == Idempotency.IDEMPOTENT
                    || idempotency == Idempotency.IDEMPOTENCY_KEY && idempotencyScope == IdempotencyScope.ALL;
        }
    }

    /** A tenant: its part of the service, and the requests a second, over all routers, within it. */
    record Tenant(double share, double quotaPerSecond) {}

    /** What the site allows. */
    record Limits(
            int maxAttempts,
            int maxInFlightRequests,
            boolean hedging,
            boolean cancellation,
            boolean healthChecks,
            boolean peerMessages,
            long maxRetryAfterNanos) {}

    /**
     * Figures of the drain and cold-start rules. A warming replica sent over {@code slowStartOverloadMultiple} times
     * its present capacity for {@code slowStartOverloadWindowNanos} falls over. {@code pollDeadlineNanos}: see
     * {@link Discovery#WATCHED}.
     */
    record EndpointLifecycle(
            long drainGracePeriodNanos,
            long pollDeadlineNanos,
            double slowStartInitialCapacity,
            long slowStartWindowNanos,
            double slowStartOverloadMultiple,
            long slowStartOverloadWindowNanos) {}

    /** What the site counts against us: an attempt that leaves its zone, and work that served no answer. */
    record Costs(double crossZone, double wastedWork) {}

    /** What the numbers of classes, tenants, zones and kinds stand for; a real node meets them by name. */
    record Names(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {}

    /** Times of connections to replicas: until one is up, and until an idle one is closed by the replica. */
    record ConnectionTimeouts(long connectTimeoutNanos, long idleTimeoutNanos) {}

    /** Start settings of one router: its number, how many routers there are, its zone, and the rest. */
    record LoadBalancerSettings(
            int instanceIndex,
            int instances,
            int zone,
            long tickNanos,
            boolean streamResumption,
            DiscoveryMode discoveryMode,
            LoadReporting loadReporting,
            List<String> loadReportFields,
            List<RequestClass> requestClasses,
            List<Tenant> tenants,
            Limits limits,
            EndpointLifecycle endpointLifecycle,
            Costs costs,
            Names names,
            ConnectionTimeouts connectionTimeouts) {

        /** Settings of a module without a real node round it. */
        public LoadBalancerSettings(
                int me,
                int routers,
                int zone,
                long tick,
                boolean resume,
                DiscoveryMode discovery,
                LoadReporting reports,
                List<String> reportFields,
                List<RequestClass> classes,
                List<Tenant> tenants,
                Limits limits,
                EndpointLifecycle rules,
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
                    new ConnectionTimeouts(0, 0));
        }

        /** The class with this number, or the most careful one if there is none. */
        public RequestClass requestClass(int classIndex) {
            return classIndex >= 0 && classIndex < requestClasses.size()
                    ? requestClasses.get(classIndex)
                    : RequestClass.UNKNOWN;
        }

        /** The same for a host whose list has to be asked for, wherever it comes from. */
        public LoadBalancerSettings withWatchedDiscovery() {
            return new LoadBalancerSettings(
                    instanceIndex,
                    instances,
                    zone,
                    tickNanos,
                    streamResumption,
                    DiscoveryMode.WATCHED,
                    loadReporting,
                    loadReportFields,
                    requestClasses,
                    tenants,
                    limits,
                    endpointLifecycle,
                    costs,
                    names,
                    connectionTimeouts);
        }
    }

    // ---- Events ---------------------------------------------------------------------------------------

    /** Anything the router tells the module. */
    sealed interface LoadBalancerEvent
            permits EndpointsUpdated,
                    RequestArrived,
                    ResponseStarted,
                    AttemptEnded,
                    ClientDisconnected,
                    HealthChecked,
                    PeerMessage,
                    TimerFired {}

    /**
     * What a list event brings: changed entries, the whole list, the list as last held; nothing, since a call or
     * subscription failed, had waited for its turn and was refused, or was never answered; or what a view between the
     * list and the module has changed, which says nothing of whether the list is followed.
     */
    enum EndpointUpdateKind {
        DELTA,
        FULL,
        CACHED,
        FAILED,
        THROTTLED,
        TIMED_OUT,
        FILTERED;

        /** Whether nothing came, and the old list stands. */
        public boolean isFailure() {
            return this == FAILED || this == THROTTLED || this == TIMED_OUT;
        }
    }

    /** A replica's state in the list. */
    enum EndpointPhase {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A replica as listed. {@code startedAt}: when it last started, 0 if long ago; {@code capacity}: how many of this
     * router's requests may await their first token there, {@link #UNLIMITED_CAPACITY} where nothing limits them.
     */
    record Endpoint(
            long id, EndpointPhase phase, long startedAt, double size, int zone, int cell, int kind, int capacity) {
        public static final int UNLIMITED_CAPACITY = Integer.MAX_VALUE;

        /** A replica as discovery lists it. */
        public Endpoint(long id, EndpointPhase phase, long readyAt, double size, int zone, int cell, int kind) {
            this(id, phase, readyAt, size, zone, cell, kind, UNLIMITED_CAPACITY);
        }

        public Endpoint withCapacity(int capacity) {
            return new Endpoint(id, phase, startedAt, size, zone, cell, kind, capacity);
        }

        public Endpoint asGone() {
            return new Endpoint(id, EndpointPhase.GONE, startedAt, size, zone, cell, kind, capacity);
        }
    }

    /** News of the replica list. */
    record EndpointsUpdated(EndpointUpdateKind kind, long version, List<Endpoint> endpoints)
            implements LoadBalancerEvent {}

    /** A client's request, or its next try under a new id. Absent values are 0. */
    record RequestArrived(
            long requestId,
            int classIndex,
            int tenantIndex,
            long sessionKey,
            long prefixKey,
            long timeoutNanos,
            long workHint,
            double promptTokens,
            double prefixTokens,
            double maxTokens,
            boolean hasHints,
            boolean isRetry,
            boolean isResumed)
            implements LoadBalancerEvent {}

    /** The answer to an attempt has begun to stream; the client owns the attempt from here. */
    record ResponseStarted(long requestId, int attempt, long endpointId, long elapsedNanos)
            implements LoadBalancerEvent {}

    /** How an attempt ended. */
    enum AttemptOutcome {
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
     * An attempt ended. {@code requestFinished}: the request has its final answer; {@code cachedPromptTokens}: prompt
     * tokens that the replica still held; {@code loadReport}: its load report in the order of the settings, or empty.
     */
    record AttemptEnded(
            long requestId,
            int attempt,
            long endpointId,
            AttemptOutcome outcome,
            boolean requestFinished,
            long elapsedNanos,
            long cachedPromptTokens,
            List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** The client has left; nothing more is owed to it. */
    record ClientDisconnected(long requestId) implements LoadBalancerEvent {}

    /** The result of a probe. */
    record HealthChecked(long endpointId, AttemptOutcome outcome, long elapsedNanos, List<Double> loadReport)
            implements LoadBalancerEvent {}

    /** A message from another router. */
    record PeerMessage(long fromInstance, byte[] body) implements LoadBalancerEvent {}

    /** A timer that the module set has come due. */
    record TimerFired(int token) implements LoadBalancerEvent {}

    // ---- Actions --------------------------------------------------------------------------------------

    /** Anything the module asks of the router. */
    sealed interface LoadBalancerAction
            permits StartAttempt,
                    CancelAttempt,
                    RejectRequest,
                    FailRequest,
                    SetTimer,
                    WatchEndpoints,
                    FetchEndpoints,
                    CheckHealth,
                    Log {}

    /** Start the request's next attempt; attempts are numbered from 0. Dropped at {@code deadline}. */
    record StartAttempt(long requestId, long endpointId, long deadline) implements LoadBalancerAction {}

    /** Stop waiting for an attempt. */
    record CancelAttempt(long requestId, int attempt) implements LoadBalancerAction {}

    /** Final answer: refused, and a retry does no harm. {@code retryAfterNanos}: advice to the client, 0 for none. */
    record RejectRequest(long requestId, long retryAfterNanos) implements LoadBalancerAction {}

    /** Final answer: failed, with no word on what it did. */
    record FailRequest(long requestId) implements LoadBalancerAction {}

    /** Raise {@link TimerFired} at or after the given time. */
    record SetTimer(long dueAt, int token) implements LoadBalancerAction {}

    /** Follow the changes of the replica list from here on. */
    record WatchEndpoints() implements LoadBalancerAction {}

    /** Ask once for the whole replica list. */
    record FetchEndpoints() implements LoadBalancerAction {}

    /** Test a replica. */
    record CheckHealth(long endpointId) implements LoadBalancerAction {}

    /** A line for the log. */
    record Log(String text) implements LoadBalancerAction {}
}
