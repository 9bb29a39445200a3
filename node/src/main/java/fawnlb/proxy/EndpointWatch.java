package fawnlb.proxy;

/**
 * The endpoint list as the proxy sees it: where the load balancer asks for updates. They arrive at
 * {@link RequestProxy#onEndpointsUpdated}.
 */
public interface EndpointWatch {
    /** Asks for every change of the endpoint list from here on. */
    void watchEndpoints();

    /** Asks once for the complete endpoint list. */
    void fetchEndpoints();
}
