/**
 * The interface between a host, which moves requests and responses, and the load balancer, which decides: settings,
 * events that the host tells, and actions that the load balancer asks for.
 *
 * <p>{@link fawnlb.decision.LoadBalancer} says how they are exchanged. The hosts are {@code fawnlb.proxy.RequestProxy}
 * on sockets and {@code fawnlb.simulator.SimulatorHost} on the simulator's wire; the implementation is
 * {@code fawnlb.policy.BoundedLoadBalancer}. The types here are immutable values without behavior of their own, and may
 * be passed between threads.
 */
package fawnlb.decision;
