package fawnlb.proxy;

/** Why an attempt that the load balancer asked for is not started. */
enum AttemptObstacle {
    /** The request is no longer open. */
    UNKNOWN_REQUEST,
    /** The client has its final answer or has left. */
    ALREADY_ANSWERED,
    /** Another attempt of the request has not ended; a request has at most one at a time. */
    ATTEMPT_ACTIVE,
    /** The request has used up its attempts. */
    ATTEMPT_LIMIT_REACHED
}
