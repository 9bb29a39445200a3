package fawnlb.decision;

import java.util.List;

/** Start settings of one router: its number, how many routers there are, its zone, and the rest. */
public record LoadBalancerSettings(
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

    /** How changes of the replica list arrive: unasked, or only after asking. */
    public enum DiscoveryMode {
        PUSHED,
        WATCHED
    }

    /** Where replicas report their load: nowhere, with each outcome, or with probes alone. */
    public enum LoadReporting {
        NONE,
        WITH_RESPONSES,
        WITH_HEALTH_CHECKS
    }

    /**
     * A class of request. {@code firstTokenObjectivePerPromptTokenNanos} is added to {@code firstTokenObjectiveNanos}
     * for each token of the prompt.
     */
    public record RequestClass(
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
    public record Tenant(double share, double quotaPerSecond) {}

    /** What the site allows. */
    public record Limits(
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
    public record EndpointLifecycle(
            long drainGracePeriodNanos,
            long pollDeadlineNanos,
            double slowStartInitialCapacity,
            long slowStartWindowNanos,
            double slowStartOverloadMultiple,
            long slowStartOverloadWindowNanos) {}

    /** What the site counts against us: an attempt that leaves its zone, and work that served no answer. */
    public record Costs(double crossZone, double wastedWork) {}

    /** What the numbers of classes, tenants, zones and kinds stand for; a real node meets them by name. */
    public record Names(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {}

    /** Times of connections to replicas: until one is up, and until an idle one is closed by the replica. */
    public record ConnectionTimeouts(long connectTimeoutNanos, long idleTimeoutNanos) {}
}
