package fawnlb.discovery;

/** What a response of discovery is made of. */
sealed interface WatchEvent {
    /** A JSON object, which should be an endpoint list. */
    record JsonObject(String json) implements WatchEvent {}

    /** A blank line: nothing has changed. */
    record Heartbeat() implements WatchEvent {}
}
