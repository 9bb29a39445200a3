/**
 * Decides when to call service discovery, without I/O and without a clock. The load balancer asks
 * {@link fawnlb.membership.SubscriptionSchedule} and makes the calls through {@link fawnlb.discovery.DiscoveryClient}.
 */
package fawnlb.membership;
