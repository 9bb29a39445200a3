package fawnlb.messages;

import fawnlb.translation.Dialect;

/** What is logged of one flow, filled in as it becomes known. */
final class RequestRecord {
    private final String id;
    private final Dialect dialect;
    private final long receivedAtNanos;
    private String team = "-";
    private String requestClass = "-";
    private String model = "-";

    RequestRecord(String id, Dialect dialect, long takenAt) {
        this.id = id;
        this.dialect = dialect;
        this.receivedAtNanos = takenAt;
    }

    void team(String name) {
        team = name;
    }

    void setClassAndModel(String wantedClass, String wantedModel) {
        requestClass = wantedClass;
        model = wantedModel;
    }

    String id() {
        return id;
    }

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
