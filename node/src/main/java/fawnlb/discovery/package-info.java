/**
 * The client of service discovery: it watches the endpoint list over HTTP and hands on each change.
 *
 * <p>{@link fawnlb.discovery.DiscoveryClient} is the entry point; the server creates one, and the load balancer asks it
 * to watch or to fetch the endpoint list. {@link fawnlb.discovery.EndpointList} and
 * {@link fawnlb.discovery.DiscoveredEndpoint} are what it delivers to a {@link fawnlb.discovery.DiscoveryListener}.
 * {@link fawnlb.discovery.EndpointListCodec} reads and writes their JSON and CBOR form, also for snapshots.
 * {@link fawnlb.discovery.EndpointStartTimes} translates the start times that discovery reports into the instance's own
 * clock.
 *
 * <p>All of it belongs to one I/O thread; the public methods of {@code DiscoveryClient} may be called from any thread.
 * When to call discovery is decided in {@link fawnlb.membership}.
 */
package fawnlb.discovery;
