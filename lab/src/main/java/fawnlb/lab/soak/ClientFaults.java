package fawnlb.lab.soak;

import fawnlb.lab.node.NodeProcess;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Clients that don't send complete requests. Thread-safe. */
final class ClientFaults {
    private static final String REQUEST = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Req";
    private static final int PARTIAL_REQUEST_CLIENTS = 8;
    /** The node's timeout of a request head, and what a busy machine needs beyond it. */
    private static final long HEAD_TIMEOUT_MILLIS = 3000;

    private static final long HEAD_TIMEOUT_TOLERANCE_MILLIS = 500;
    private static final int IDLE_CLIENTS = 40;
    private static final long IDLE_MILLIS = 500;

    private final SoakLog log;

    ClientFaults(SoakLog log) {
        this.log = log;
    }

    /** Sends the first bytes of a request, which the node has to give up in time. */
    void sendPartialRequests(NodeProcess node, int requestBytes) throws IOException {
        try (MalformedClients clients = new MalformedClients(node.address())) {
            clients.connect(PARTIAL_REQUEST_CLIENTS, REQUEST.substring(0, requestBytes));
            if (!clients.areClosedWithin(HEAD_TIMEOUT_MILLIS + HEAD_TIMEOUT_TOLERANCE_MILLIS)) {
                log.addFailure(node.name() + " kept a partial request for over 3.5 s");
            }
        }
    }

    /** Opens connections and closes them without a request. */
    void openIdleConnections(NodeProcess node) throws IOException, InterruptedException {
        try (MalformedClients clients = new MalformedClients(node.address())) {
            clients.connect(IDLE_CLIENTS, "");
            TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
        }
    }
}
