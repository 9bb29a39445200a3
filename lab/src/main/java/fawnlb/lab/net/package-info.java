/**
 * HTTP/1.1 server for emulated services, and the faults that it can inject into a response.
 *
 * <p>{@code fawnlb.lab.engine} and {@code fawnlb.lab.discovery} build on {@link fawnlb.lab.net.HttpServer}, because
 * they have to write malformed, late and truncated responses. A server and all its exchanges belong to the single I/O
 * thread of the worker that it was created with; constructors and {@link fawnlb.lab.net.Ports} may be used on any
 * thread.
 */
package fawnlb.lab.net;
