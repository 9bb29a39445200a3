/**
 * HTTP/1.1 below the level of requests and responses that mean something to the load balancer.
 *
 * <p>For client requests, which Undertow parses: {@link fawnlb.http.RequestHeadValidator} checks heads more strictly
 * than Undertow does, and {@link fawnlb.http.RequestBodyReader} receives bodies within limits. Both report what is
 * wrong as an {@link fawnlb.http.InvalidRequestException}, whose message is sent to the client.
 *
 * <p>For backends and discovery: {@link fawnlb.http.HttpClientConnection} sends one request at a time on one connection
 * and parses the response. {@code fawnlb.backend} and {@code fawnlb.discovery} call it.
 *
 * <p>A connection and everything that belongs to it is used on one I/O thread. Handlers are called on that thread.
 */
package fawnlb.http;
