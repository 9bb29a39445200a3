/**
 * Real nodes in processes of their own: {@link fawnlb.lab.node.NodeProcess} starts, signals, measures and kills one.
 * Scenarios use it on their own threads; an instance must not be used by two at a time.
 */
package fawnlb.lab.node;
