package fawnlb.decision;

import java.util.List;

/**
 * The settings that an instance starts with; they don't change while it runs.
 *
 * @param instanceIndex the number of this instance, from 0
 * @param instances how many instances there are
 * @param zone the number of this instance's zone, see {@link Names#zones}
 * @param tickNanos the resolution of the host's timers
 * @param streamResumption whether an interrupted response can be continued on another endpoint
 * @param loadReportFields the names of the values in a load report, in their order
 * @param requestClasses by the number that requests carry
 * @param tenants by the number that requests carry; empty where tenants have no shares
 */
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

    /** Returns the class with this number; if there is none, one whose requests may run once and have no objective. */
    public RequestClass requestClass(int classIndex) {
        return classIndex >= 0 && classIndex < requestClasses.size()
                ? requestClasses.get(classIndex)
                : RequestClass.UNKNOWN;
    }

    /** Returns the same settings for a host whose load balancer has to ask for the endpoint list. */
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

    /** How changes of the endpoint list arrive. */
    public enum DiscoveryMode {
        /** The host reports them without being asked. */
        PUSHED,
        /** The load balancer has to ask for them by {@link LoadBalancerAction.WatchEndpoints}. */
        WATCHED
    }

    /** Where endpoints report their load. */
    public enum LoadReporting {
        /** Nowhere. */
        NONE,
        /** With each response. */
        WITH_RESPONSES,
        /** With health checks alone. */
        WITH_HEALTH_CHECKS
    }

    /**
     * A class of requests.
     *
     * @param idempotencyWindowNanos how long an idempotency key is remembered
     * @param firstTokenObjectiveNanos when a first token is due, for an empty prompt
     * @param firstTokenObjectivePerPromptTokenNanos what each token of the prompt adds to that
     * @param deadlineNanos how long a client waits for a first token
     * @param tokenObjectiveNanos how far apart later tokens may be; 0 for no objective
     * @param priorityWeight what a timely response is worth
     * @param lateWeight what a late response is worth; 0 where it is worth nothing
     * @param isStreaming whether responses are streamed
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
        /** Stands for classes that the settings don't name. */
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
         * Whether a request may be rejected, which tells its client that it may send it again.
         *
         * @param mayHaveRun whether an attempt of the request may have taken effect
         */
        public boolean isRejectable(boolean mayHaveRun) {
            return !mayHaveRun
                    || idempotency == Idempotency.IDEMPOTENT
                    || idempotency == Idempotency.IDEMPOTENCY_KEY && idempotencyScope == IdempotencyScope.ALL;
        }
    }

    /**
     * A tenant.
     *
     * @param share its fraction of the requests; 0 for none of its own
     * @param quotaPerSecond how many requests a second, over all instances, its share covers
     */
    public record Tenant(double share, double quotaPerSecond) {}

    /**
     * What the site allows.
     *
     * @param maxAttempts how many attempts a request may have
     * @param maxInFlightRequests how many requests an instance may have in hand
     * @param hedging whether a second attempt may run beside the first
     * @param cancellation whether attempts may be cancelled
     * @param healthChecks whether endpoints may be checked
     * @param peerMessages whether instances may send each other messages
     * @param maxRetryAfterNanos the longest advice to a rejected client; 0 for no advice
     */
    public record Limits(
            int maxAttempts,
            int maxInFlightRequests,
            boolean hedging,
            boolean cancellation,
            boolean healthChecks,
            boolean peerMessages,
            long maxRetryAfterNanos) {}

    /**
     * How endpoints start and stop.
     *
     * @param drainGracePeriodNanos how long an endpoint completes its requests after it has begun to drain
     * @param pollDeadlineNanos how old the endpoint list may become without a watch
     * @param slowStartInitialCapacity the fraction of its capacity that an endpoint has when it starts
     * @param slowStartWindowNanos how long it takes to reach its full capacity
     * @param slowStartOverloadMultiple an endpoint in slow start fails if it is sent more than this multiple of its
     *     present capacity
     * @param slowStartOverloadWindowNanos for this long
     */
    public record EndpointLifecycle(
            long drainGracePeriodNanos,
            long pollDeadlineNanos,
            double slowStartInitialCapacity,
            long slowStartWindowNanos,
            double slowStartOverloadMultiple,
            long slowStartOverloadWindowNanos) {}

    /**
     * What the site charges.
     *
     * @param crossZone for an attempt in another zone
     * @param wastedWork for work that led to no answer
     */
    public record Costs(double crossZone, double wastedWork) {}

    /**
     * The names behind the numbers of classes, tenants, zones and kinds; empty where the host knows numbers only. A
     * name is found as it is written, or else with underscores in place of spaces and commas if that fits one name
     * alone.
     */
    public record Names(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {
        /** Returns the number of a class, or -1 if the settings don't name it. */
        public int classIndex(String name) {
            return NameMatcher.indexOf(classes, name);
        }

        /** Returns the number of a tenant, or -1 if the settings don't name it. */
        public int tenantIndex(String name) {
            return NameMatcher.indexOf(tenants, name);
        }

        /** Returns the number of a zone, or -1 if the settings don't name it. */
        public int zoneIndex(String name) {
            return NameMatcher.indexOf(zones, name);
        }

        /** Returns the number of a kind, or -1 if the settings don't name it. */
        public int kindIndex(String name) {
            return NameMatcher.indexOf(kinds, name);
        }
    }

    /**
     * Timeouts of connections to endpoints.
     *
     * @param connectTimeoutNanos until a connection has to be open
     * @param idleTimeoutNanos after which an endpoint closes an idle connection
     */
    public record ConnectionTimeouts(long connectTimeoutNanos, long idleTimeoutNanos) {}
}
