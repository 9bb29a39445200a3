package fawnlb.messages;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.translation.Dialect;

/** What the log says of one request; fields are filled in as they become known. */
@EventLoopOnly
final class RequestRecord {
    private static final String UNKNOWN = "-";

    private final String id;
    private final Dialect dialect;
    private final long receivedAtNanos;
    private String team = UNKNOWN;
    private String requestClass = UNKNOWN;
    private String model = UNKNOWN;

    RequestRecord(String id, Dialect dialect, long receivedAtNanos) {
        this.id = id;
        this.dialect = dialect;
        this.receivedAtNanos = receivedAtNanos;
    }

    void setTeam(String team) {
        this.team = team;
    }

    void setClassAndModel(String requestClass, String model) {
        this.requestClass = requestClass;
        this.model = model;
    }

    String id() {
        return id;
    }

    /** Returns the dialect that the client speaks. */
    Dialect dialect() {
        return dialect;
    }

    long receivedAtNanos() {
        return receivedAtNanos;
    }

    String team() {
        return team;
    }

    String requestClass() {
        return requestClass;
    }

    String model() {
        return model;
    }
}
