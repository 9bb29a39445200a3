/**
 * Faults of system calls and of the wall clock in one node's process, by a preloaded library. Scenarios and system
 * tests use {@link fawnlb.lab.shim.FaultShim} on their own threads; the library reads its control file without locks.
 */
package fawnlb.lab.shim;
