package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;

/** Receives what service discovery says. {@link DiscoveryClient} calls it on its I/O thread, one call at a time. */
@FunctionalInterface
public interface DiscoveryListener {
    /**
     * Takes a list, or learns that a call has failed.
     *
     * @param kind what the endpoint list holds, or how the call failed
     * @param list the endpoint list; null if the call failed
     */
    void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList list);

    /**
     * Called before a list is taken.
     *
     * @throws EndpointListFormatException if there is no room for it; the list that is held stays
     */
    default void checkRoom(EndpointList list) throws EndpointListFormatException {}

    /** Learns that discovery answers and that nothing has changed since the last list. */
    default void onHeartbeat() {}
}
