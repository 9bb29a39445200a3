/**
 * The event loop's clock, timers and mailboxes, and what watches over it. All state of requests, connections and the
 * load balancer belongs to actors whose messages run on one XNIO I/O thread, one at a time, so it needs no locks.
 *
 * <p>Every package that runs on the event loop uses this one. {@link fawnlb.eventloop.Mailbox} may be used from any
 * thread; {@link fawnlb.eventloop.EventLoopOnly} and {@link fawnlb.eventloop.ThreadSafe} mark what holds for other
 * types. Tasks on the event loop must not block: {@link fawnlb.eventloop.EventLoopWatchdog} reports one that does.
 */
package fawnlb.eventloop;
