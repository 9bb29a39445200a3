package fawnlb.lab.rules;

/** The rules that a node has to keep, by the names under which reports show them. */
public enum Rule {
    /** Each request gets one final response. */
    EXACTLY_ONE_RESPONSE,
    /** A request is at one backend at a time. */
    NO_CONCURRENT_ATTEMPTS,
    /** A request is not attempted more often than configured. */
    ATTEMPT_LIMIT,
    /** No attempt starts at a backend after the grace period of its drain. */
    NO_ATTEMPT_TO_DRAINING_BACKEND,
    /** A backend in its slow start does not receive so much work that it collapses. */
    NO_OVERLOAD_IN_SLOW_START,
    /** Clients receive what a backend generated for their request, byte for byte. */
    RESPONSE_MATCHES_BACKEND,
    /** The response begins by the client's deadline. */
    RESPONSE_BY_DEADLINE,
    /** No attempt starts after the client has disconnected. */
    NO_ATTEMPT_AFTER_DISCONNECT,
    /** The deadline that is forwarded to a backend is not later than the client's. */
    FORWARDED_DEADLINE,
    /** A request that is not idempotent runs at one backend at most, and is not rejected once it ran. */
    NON_IDEMPOTENT_RUNS_ONCE,
    /** A stream ends in time at its client when its backend sends no more events, whatever else it sends. */
    NO_WAIT_WITHOUT_PROGRESS,
    /** A sound answer is not cut off because its backend writes slowly. */
    SLOW_ANSWER_NOT_CUT
}
