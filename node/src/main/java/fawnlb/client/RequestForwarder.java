package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.RequestProxy;
import io.undertow.server.HttpServerExchange;

/** Submits client requests to the proxy, and rejects those that the proxy can't accept. */
@EventLoopOnly
public final class RequestForwarder {
    /** One exchange has a few messages pending at most: its stream's chunks are requested one by one. */
    private static final int MAILBOX_CAPACITY = 64;
    /** The proxy's queue of events is full, which passes within a second or not at all. */
    private static final long OVERLOAD_RETRY_AFTER_NANOS = 1_000_000_000;

    private final RequestProxy requestProxy;

    /** Creates a forwarder to the proxy that all fronts share. */
    public RequestForwarder(RequestProxy requestProxy) {
        this.requestProxy = requestProxy;
    }

    /**
     * Submits a request. The exchange sends the response.
     *
     * @param formatter the format of the responses, of this request alone
     * @param registration the request's id
     */
    public void forward(
            HttpServerExchange exchange,
            IncomingRequest request,
            ResponseFormatter formatter,
            RequestIds.Registration registration) {
        Mailbox mailbox = new Mailbox(exchange.getIoThread(), MAILBOX_CAPACITY);
        ClientExchange client = new ClientExchange(exchange, mailbox, formatter, registration);
        RequestProxy.RequestHandle handle = requestProxy.submit(request, client);
        if (handle == null) {
            client.sendRejection(null, OVERLOAD_RETRY_AFTER_NANOS);
        } else {
            client.attach(handle);
        }
    }
}
