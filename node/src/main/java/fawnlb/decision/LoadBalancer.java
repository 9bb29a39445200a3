package fawnlb.decision;

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
}
