/**
 * The clients' side of the load balancer: accepting connections, limiting them, and sending responses.
 *
 * <p>A {@link fawnlb.client.Listener} accepts connections and passes them to the
 * {@link fawnlb.client.ClientConnectionTracker}, which limits them and closes idle ones. Undertow parses the requests.
 * {@link fawnlb.client.ClientRequestHandler} checks each request first and passes it to the handler of its protocol, in
 * {@code fawnlb.platform} or {@code fawnlb.messages}. That handler passes the request to the
 * {@link fawnlb.client.RequestForwarder}, which submits it to {@code fawnlb.proxy} together with a
 * {@link fawnlb.client.ClientExchange}. The exchange sends the response that the proxy chooses, in the format of a
 * {@link fawnlb.client.ResponseFormatter}.
 *
 * <p>Everything runs on the I/O thread that serves the connections, except where a class is marked as thread-safe or a
 * method says otherwise. {@code fawnlb.server} creates the listeners and closes them at a graceful shutdown.
 */
package fawnlb.client;
