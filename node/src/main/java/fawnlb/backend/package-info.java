/**
 * The connections to backends, and the requests and health checks on them.
 *
 * <p>{@link fawnlb.backend.BackendPool} holds a {@code Backend} for each endpoint of the endpoint list and starts
 * attempts and health checks for {@code fawnlb.proxy}. A {@code BackendExchange} is one request and response on a
 * connection: {@code AttemptExchange} relays a client's request, {@code HealthCheckExchange} asks for the backend's
 * load. {@code SendGuard} is asked immediately before a request is written whether it may still be sent; a
 * {@code RelayedBody} turns the backend's bytes into the client's. When a silence or a slow client ends a response is
 * decided in {@code fawnlb.stream}.
 *
 * <p>Threads: each backend is an actor with a mailbox on the event loop of its pool. The pool's own methods are called
 * by the proxy's actor on the same event loop. Nothing here blocks, and nothing is shared with other threads except the
 * metrics.
 */
package fawnlb.backend;
