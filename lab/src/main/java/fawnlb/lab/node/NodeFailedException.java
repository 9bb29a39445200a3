package fawnlb.lab.node;

import java.io.IOException;

/** A node ended by itself or did not become ready. The message contains the node's log. */
public final class NodeFailedException extends IOException {
    private static final long serialVersionUID = 1;

    private final String nodeName;

    private NodeFailedException(String nodeName, String message) {
        super(message);
        this.nodeName = nodeName;
    }

    /** Returns the failure of a node whose process has ended unexpectedly. */
    public static NodeFailedException ended(NodeProcess node) throws IOException {
        return new NodeFailedException(node.name(), node.name() + " ended by itself:\n" + node.readLog());
    }

    /** Returns the failure of a node that did not report readiness in time. */
    public static NodeFailedException notReady(NodeProcess node) throws IOException {
        return new NodeFailedException(node.name(), node.name() + " was not ready in time:\n" + node.readLog());
    }

    /** Returns the name of the node that failed. */
    public String nodeName() {
        return nodeName;
    }
}
