package fawnlb.lab.node;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What distinguishes one node of a run from the others.
 *
 * @param nodeIndex number of the node among all nodes, from 0
 * @param discoveryAddress where this node reaches the discovery service
 * @param zones names of all zones
 * @param profiles names of all host types
 */
public record NodeConfiguration(
        int nodeIndex, int nodeCount, InetSocketAddress discoveryAddress, List<String> zones, List<String> profiles) {}
