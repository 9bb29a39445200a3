package fawnlb.discovery;

/** How long a call to discovery may take, in nanoseconds. */
final class DiscoveryTimeouts {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Until a connection is up. */
    static final long CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND;
    /**
     * Until the answer begins. Calls queue at a service that all instances share, and it refuses them after 2 s, as the
     * operators' page says.
     */
    static final long RESPONSE_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2;
    /** A watch sends something as often as this, if only an empty line. */
    private static final long HEARTBEAT_INTERVAL_NANOS = 2 * NANOS_PER_SECOND;
    /** How late a heartbeat may be: none was ever seen to be more than 50 ms late. */
    private static final long HEARTBEAT_TOLERANCE_NANOS = NANOS_PER_SECOND / 10;
    /** After the wait for a heartbeat, what came while the I/O thread was busy is given this long to be read. */
    static final long UNREAD_INPUT_GRACE_NANOS = NANOS_PER_SECOND / 20;
    /** The wait for a heartbeat, without the grace. */
    static final long HEARTBEAT_TIMEOUT_NANOS = HEARTBEAT_INTERVAL_NANOS + HEARTBEAT_TOLERANCE_NANOS;
    /**
     * After this time without an event, or a part of one, a watch counts as failed. It stays open until the next call
     * is made, and may resume.
     */
    static final long WATCH_SILENCE_TIMEOUT_NANOS = HEARTBEAT_TIMEOUT_NANOS + UNREAD_INPUT_GRACE_NANOS;
    /** How long the parts of a watch's first list prolong the wait for its end. Other changes wait behind it. */
    static final long MAX_FIRST_LIST_NANOS = 10 * NANOS_PER_SECOND;
    /**
     * How long the parts of a later change do. With the wait that follows, and the backoff before the next call, it is
     * less than the time in which a change must be known.
     */
    static final long MAX_CHANGE_NANOS = 2 * NANOS_PER_SECOND;
    /** A call that is refused after this time has queued at the service. */
    static final long MIN_QUEUED_NANOS = NANOS_PER_SECOND;

    private DiscoveryTimeouts() {}
}
