/**
 * The decision module: which endpoint receives a request, when an attempt is retried, and which requests are rejected.
 *
 * <p>{@link fawnlb.policy.BoundedLoadBalancer} is the only public class. It implements
 * {@link fawnlb.decision.LoadBalancer}, follows each request from its arrival to its final answer, and ties the other
 * classes together:
 *
 * <ul>
 *   <li>selection: {@link fawnlb.policy.EndpointSelector} walks the {@link fawnlb.policy.HashRing} of the
 *       {@link fawnlb.policy.EndpointTable}, within {@link fawnlb.policy.LoadBound} and
 *       {@link fawnlb.policy.EndpointCapacity}; {@link fawnlb.policy.HotKeySpreader} and
 *       {@link fawnlb.policy.ZoneAffinity} decide where it begins;
 *   <li>what is known of endpoints: {@link fawnlb.policy.EndpointFeedback} passes on what attempts tell to
 *       {@link fawnlb.policy.SlowStart}, {@link fawnlb.policy.OutlierDetector}, {@link fawnlb.policy.LatencyTracker},
 *       {@link fawnlb.policy.StreamPaceTracker} and {@link fawnlb.policy.AdmissionController};
 *       {@link fawnlb.policy.RolloutPredictor} watches drains; all of it is held in
 *       {@link fawnlb.policy.EndpointState};
 *   <li>overload: {@link fawnlb.policy.AdmissionController} rejects on arrival, shared among tenants by
 *       {@link fawnlb.policy.TenantQuotas};
 *   <li>attempts: {@link fawnlb.policy.RetryPolicy} with {@link fawnlb.policy.RetryBudget},
 *       {@link fawnlb.policy.IdempotencyRules}, {@link fawnlb.policy.AttemptTimeouts}, and
 *       {@link fawnlb.policy.PendingQueue} for requests that no endpoint may take yet;
 *   <li>discovery: {@link fawnlb.policy.DiscoveryWatch} asks for the endpoints where they are not pushed.
 * </ul>
 *
 * <p>Constants that name no other reason were measured on the first site; {@code docs/design/standing-test.md} says
 * what they cost on others.
 *
 * <p>No class here reads a clock, starts a thread or does I/O: time is an argument, in nanoseconds on one clock that
 * never goes back, and all calls come from the one thread of the host. The host draws random numbers from a seed, so
 * that the same events lead to the same actions; {@code RecordedDecisionsTest} holds the module to that.
 */
package fawnlb.policy;
