package fawnlb.metrics;

/**
 * The registry of everything that the process counts and measures: each metric's series, type, label and meaning. The
 * operators' page {@code docs/operations/on-call.md} has the same table; a test compares the two.
 *
 * <p>The names of series and labels are read by dashboards and alerts: a new name needs the old series beside it for
 * one release.
 */
public enum Metric {
    REQUESTS("fawnlb_requests_total", "end", "Requests, by what their client got in the end"),
    ATTEMPTS("fawnlb_attempts_total", "end", "Attempts at backends, by how they ended"),
    SENDS_PREVENTED(
            "fawnlb_sends_prevented_total",
            "reason",
            "Attempts that were decided on and not sent, by what prevented it"),
    CLIENT_CONNECTIONS_CLOSED(
            "fawnlb_client_connections_closed_total",
            "reason",
            "Client connections that the load balancer closed, by why"),
    REQUESTS_REJECTED(
            "fawnlb_requests_rejected_total",
            "reason",
            "Requests that were rejected before the load balancer decided on them, by why"),
    MEMORY_REFUSALS(
            "fawnlb_memory_refusals_total", "use", "Reservations of memory that were refused, by what they were for"),
    MEMORY_RECLAIMS(
            "fawnlb_memory_reclaims_total",
            "use",
            "Requests and connections that were ended to make room in memory, by what needed the room"),
    MEMORY_RESERVED(
            "fawnlb_memory_reserved_bytes",
            Type.GAUGE,
            "use",
            "Bytes of the heap that are reserved for clients and servers, by what they are for"),
    HEAP(
            "fawnlb_heap_bytes",
            Type.GAUGE,
            "kind",
            "The heap: what may be reserved, what is used with garbage, and its largest size"),
    CLIENT_CONNECTIONS(
            "fawnlb_client_connections", Type.GAUGE, "listener", "Client connections that are open, by their listener"),
    CLIENT_CONNECTIONS_WITHOUT_REQUEST(
            "fawnlb_client_connections_without_request",
            Type.GAUGE,
            "listener",
            "Client connections that may be closed to make room, by their listener"),
    CLIENT_CONNECTIONS_LIMIT(
            "fawnlb_client_connections_limit",
            Type.GAUGE,
            "listener",
            "Client connections with requests that a listener may have"),
    LISTENER_STOPPED(
            "fawnlb_listener_stopped_milliseconds",
            Type.GAUGE,
            "listener",
            "For how long a listener has accepted nothing for want of room"),
    ACCEPT_FAILURES("fawnlb_accept_failures_total", "kind", "Client connections that could not be accepted"),
    LOCAL_CONNECT_FAILURES(
            "fawnlb_local_connect_failures_total",
            "kind",
            "Connects to backends that failed for a reason of this machine and count against no backend"),
    DISCOVERY_CALLS("fawnlb_discovery_calls_total", "result", "Calls to the discovery service, by how they went"),
    MESSAGES_DROPPED("fawnlb_messages_dropped_total", "kind", "Internal messages that a full mailbox did not take"),
    INVARIANT_VIOLATIONS(
            "fawnlb_invariant_violations_total",
            "invariant",
            "Violated invariants; each is a bug of the load balancer");

    /** How a metric behaves over time, in Prometheus' terms. */
    public enum Type {
        /** Only ever goes up, from 0 at the start of the process. */
        COUNTER,
        /** Goes up and down. */
        GAUGE
    }

    private final String seriesName;
    private final Type type;
    private final String labelName;
    private final String help;

    Metric(String seriesName, String labelName, String help) {
        this(seriesName, Type.COUNTER, labelName, help);
    }

    Metric(String seriesName, Type type, String labelName, String help) {
        this.seriesName = seriesName;
        this.type = type;
        this.labelName = labelName;
        this.help = help;
    }

    /** The name of the series in Prometheus' text format. */
    public String seriesName() {
        return seriesName;
    }

    /** Returns the type that the series has in Prometheus' text. */
    public Type type() {
        return type;
    }

    /** The name of the metric's one label. */
    public String labelName() {
        return labelName;
    }

    /** What is counted or measured, in one sentence. */
    public String help() {
        return help;
    }
}
