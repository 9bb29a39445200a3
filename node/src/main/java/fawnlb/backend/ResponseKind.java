package fawnlb.backend;

import fawnlb.http.ResponseHead;
import fawnlb.stream.EndReason;
import fawnlb.translation.Dialect;
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
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int OVERLOADED = 529;

    /** Bad request, not found, content too large, unprocessable content. */
    private static final Set<Integer> CLIENT_ERROR_STATUSES = Set.of(400, 404, 413, 422);

    static ResponseKind of(ResponseHead head) {
        if (head.status() == OK) {
            return ANSWER;
        }
        return CLIENT_ERROR_STATUSES.contains(head.status()) ? CLIENT_ERROR : FAILURE;
    }

    /** Whether the response's body goes to the client. */
    boolean isRelayed() {
        return this != FAILURE;
    }

    /** Returns why an attempt has ended whose response, of this kind, the client does not get. */
    EndReason failureReason(ResponseHead head, Dialect backendDialect) {
        if (isRequestNotRun(head, backendDialect)) {
            return EndReason.NOT_ACCEPTED;
        }
        return isRelayed() ? EndReason.TRUNCATED : EndReason.BACKEND_ERROR;
    }

    private static boolean isRequestNotRun(ResponseHead head, Dialect backendDialect) {
        // In the messages dialect, 429 and 529 are answers to requests that were not run.
        boolean isOverloadStatus = head.status() == TOO_MANY_REQUESTS || head.status() == OVERLOADED;
        return head.header("x-not-run").equals("1") || backendDialect == Dialect.MESSAGES && isOverloadStatus;
    }
}
