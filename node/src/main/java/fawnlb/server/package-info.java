/**
 * One running server: {@link fawnlb.server.Server} creates all parts and connects them, and each of the other classes
 * has one job in its start, its readiness, or its end. The commands in {@code cli} call them, on the main thread and on
 * the threads of signals; what serves requests runs on the one I/O thread of {@code EventLoop}.
 *
 * <p>A start blocks its thread until all listeners accept connections, and a shutdown until all requests are answered.
 */
package fawnlb.server;
