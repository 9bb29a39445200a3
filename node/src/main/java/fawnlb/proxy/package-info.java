/**
 * The core of the load balancer. It owns every client's request from its submission to its one final answer, tells the
 * {@link fawnlb.decision.LoadBalancer} what happens and carries out what it decides.
 *
 * <p>Fronts call {@link fawnlb.proxy.RequestProxy}, and implement {@link fawnlb.proxy.ClientConnection}. The package
 * calls the backends and the endpoint list through {@link fawnlb.proxy.Backends} and
 * {@link fawnlb.proxy.EndpointWatch}, which other packages implement. It knows no wire format and does no I/O.
 *
 * <p>Everything runs on the event loop, one message of the proxy's mailbox at a time; the methods of
 * {@code RequestProxy} that other threads may call are marked.
 */
package fawnlb.proxy;
