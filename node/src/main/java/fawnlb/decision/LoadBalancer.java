package fawnlb.decision;

/**
 * Decides which endpoint each request goes to, when it is retried and when it is rejected. The host tells it events and
 * carries out the actions that it asks for.
 *
 * <p>Times are nanoseconds on one clock of the host's choosing, which never goes back. The host calls {@link #onEvent}
 * from one thread. Actions reach the {@link ActionSink} during that call, in the order in which they are to be carried
 * out; the sink must not call back into the load balancer.
 */
public interface LoadBalancer {

    /**
     * Handles one event.
     *
     * @param now the time of the event, and of every action that it causes
     */
    void onEvent(long now, LoadBalancerEvent event);

    /** Creates the load balancer of one instance. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates a load balancer that knows no endpoints.
         *
         * @param seed the source of its random numbers: the same seed and events lead to the same actions
         * @param sink receives its actions
         */
        LoadBalancer create(LoadBalancerSettings settings, long seed, ActionSink sink);
    }

    /** Receives the actions of a load balancer. */
    @FunctionalInterface
    interface ActionSink {
        /** Carries out an action, or notes it to be carried out after the event that caused it. */
        void perform(LoadBalancerAction action);
    }
}
