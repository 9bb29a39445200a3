package fawnlb.flow;

import fawnlb.decision.Balancer.Outcome;

/** The client's side of a flow. Exactly one of its methods is called, once, unless the client has left. */
public interface Listener {
    /** A target's stream is the answer. */
    void streaming(Source source);

    /** Fixed response: trying again is harmless, after so many nanoseconds. Cause: the last forward's outcome,
     *  null if there was none. */
    void refused(Outcome cause, long retryAfter);

    /** Fixed response: failed, with no word on what it did. */
    void failed(Outcome cause);
}
