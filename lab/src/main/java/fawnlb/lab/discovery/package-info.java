/**
 * An emulated discovery service. Scenarios create a {@link fawnlb.lab.discovery.DiscoveryServer}, change its list and
 * interrupt it; nodes poll and watch it. It runs on the I/O thread of the worker that it was created with.
 */
package fawnlb.lab.discovery;
