package fawnlb.proxy;

/**
 * The endpoint list as the proxy sees it: where the load balancer asks for updates. They arrive at
 * {@link RequestProxy#onEndpointsUpdated}.
 */
public interface EndpointWatch {
    /** Follows the changes of the list from here on. */
    void watchEndpoints();

    /** Asks once for the whole list. */
    void fetchEndpoints();
}
