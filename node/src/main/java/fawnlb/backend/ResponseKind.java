package fawnlb.backend;

import fawnlb.http.ResponseHead;
import java.util.Set;

/** What the status of a response means for the client. */
enum ResponseKind {
    /** The answer to the request, which is relayed. */
    ANSWER,
    /**
     * The backend finds the request itself wrong. Every backend would, and only the client can correct it, so the error
     * is relayed instead of being retried.
     */
    CLIENT_ERROR,
    /** An error of the backend's own; its body is discarded, and the load balancer decides what follows. */
    FAILURE;

    private static final int OK = 200;

    /** Bad request, not found, content too large, unprocessable content. */
    private static final Set<Integer> CLIENT_ERROR_STATUSES = Set.of(400, 404, 413, 422);

    static ResponseKind of(ResponseHead head) {
        if (head.status() == OK) {
            return ANSWER;
        }
        return CLIENT_ERROR_STATUSES.contains(head.status()) ? CLIENT_ERROR : FAILURE;
    }

    boolean isRelayed() {
        return this != FAILURE;
    }
}
