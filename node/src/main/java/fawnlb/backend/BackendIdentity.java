package fawnlb.backend;

import fawnlb.decision.EndpointId;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;

/**
 * What makes a backend the one that it is. An endpoint that restarts, moves or changes its dialect is a new backend:
 * idle connections to the former one lead nowhere, and a machine that vanished does not close them.
 *
 * @param id the endpoint's id in the endpoint list
 * @param startedAtNanos when the endpoint started, in nanoseconds on the instance's clock
 */
record BackendIdentity(EndpointId id, InetSocketAddress address, long startedAtNanos, Dialect dialect) {
    /** The value of the Host header, and what operators are shown. */
    String hostAndPort() {
        return address.getHostString() + ':' + address.getPort();
    }
}
