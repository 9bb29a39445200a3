/**
 * Limits what is sent to endpoints that are known only from a snapshot, until discovery has answered.
 *
 * <p>{@link fawnlb.restore.RestoredEndpointFilter} stands between discovery and the load balancer. For each endpoint
 * that was restored it keeps a {@code RestoredEndpoint} with its {@link fawnlb.restore.RestoredEndpointState};
 * {@code TrialAdmission} decides when an endpoint is tried, {@code EjectionBackoff} for how long a failed one is left
 * alone, and {@code ContactAgeWeights} how likely it is still there.
 *
 * <p>Nothing here does I/O or reads a clock. All of it runs on the thread of the load balancer.
 */
package fawnlb.restore;
