/**
 * Checks what crossed the sockets of a run against the rules that the node has to keep.
 *
 * <p>Emulated clients, backends and the discovery service report what they sent and received; the node under test
 * reports nothing. {@link fawnlb.lab.rules.RuleChecker} is thread-safe, because its reporters run on several I/O
 * threads.
 */
package fawnlb.lab.rules;
