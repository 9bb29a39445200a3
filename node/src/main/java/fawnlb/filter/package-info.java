/**
 * Steps between service discovery and the load balancer.
 *
 * <p>An {@link fawnlb.filter.EndpointFilter} sees each endpoint list before the load balancer does, and may change it;
 * it sees all other events, and may change endpoints because of them. {@link fawnlb.filter.EndpointFilterChain} is a
 * load balancer that passes its events through a list of filters to another one. The server puts the chain together;
 * the filters are {@link fawnlb.snapshot.SnapshotRecorder} and {@link fawnlb.restore.RestoredEndpointFilter}.
 *
 * <p>Filters run on the thread of the load balancer. They do no I/O there and read no clock.
 */
package fawnlb.filter;
