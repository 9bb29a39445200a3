package fawnlb.proxy;

/** The list of backends, which tells the core only what it was asked for. */
public interface EndpointWatch {
    void watchEndpoints();

    void fetchEndpoints();
}
