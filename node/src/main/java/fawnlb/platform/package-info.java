/**
 * The platform's protocol for clients: chat completions with the platform's request headers.
 *
 * <p>{@link fawnlb.platform.PlatformHandler} is the HTTP handler of the main listener. It parses the headers, passes
 * the request to {@code fawnlb.proxy}, and answers {@code /health/ready}. {@code fawnlb.server} creates it.
 *
 * <p>Requests are handled on the I/O thread of their connection.
 */
package fawnlb.platform;
