package fawnlb.proxy;

/** Where a request stands. The legal moves between the states are in {@link RequestStateMachine}. */
enum RequestState {
    /** Submitted by a front; the load balancer has not heard of it. */
    RECEIVED("received"),
    /** The load balancer knows it, and no attempt is active: it waits in a queue or for the next decision. */
    AWAITING_DECISION("awaiting a decision"),
    /** An attempt is active whose response has not begun. */
    ATTEMPTING("attempting"),
    /** The response of the active attempt is the client's final answer and is being passed on. */
    STREAMING("streaming"),
    /** The client has its final answer or has left, and the attempt that was stopped has not ended yet. */
    STOPPING_ATTEMPT("stopping the attempt"),
    /** The client has its final answer or has left, and no attempt is active. */
    ANSWERED("answered");

    private final String label;

    RequestState(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Whether the client was sent its final answer or the first chunk of it, or has left. */
    boolean isAnswered() {
        return this == STREAMING || this == STOPPING_ATTEMPT || this == ANSWERED;
    }
}
