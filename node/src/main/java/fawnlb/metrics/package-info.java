/**
 * Counts of what the process did and why, and of broken invariants. No I/O and no dependencies; safe for all threads.
 */
package fawnlb.metrics;
