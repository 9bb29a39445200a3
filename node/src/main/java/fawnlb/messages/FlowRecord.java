package fawnlb.messages;

import fawnlb.dialect.Dialect;

/** What is logged of one flow, filled in as it becomes known. */
final class FlowRecord {
    private final String id;
    private final Dialect dialect;
    private final long takenAt;
    private String team = "-";
    private String requestClass = "-";
    private String model = "-";

    FlowRecord(String id, Dialect dialect, long takenAt) {
        this.id = id;
        this.dialect = dialect;
        this.takenAt = takenAt;
    }

    void team(String name) {
        team = name;
    }

    void asked(String wantedClass, String wantedModel) {
        requestClass = wantedClass;
        model = wantedModel;
    }

    String id() {
        return id;
    }

    Dialect dialect() {
        return dialect;
    }

    long takenAt() {
        return takenAt;
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
