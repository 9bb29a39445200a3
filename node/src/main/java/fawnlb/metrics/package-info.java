/**
 * What the process counts and logs: the registry of metrics, their counters, the invariants that are checked at run
 * time, and the form of log lines.
 *
 * <p>Every other package may call it, from any thread. It does no I/O but through {@code java.util.logging}, and
 * depends on no other package.
 */
package fawnlb.metrics;
