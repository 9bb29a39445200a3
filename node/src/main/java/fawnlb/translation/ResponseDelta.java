package fawnlb.translation;

/** What an answer is made of, in neither dialect's words. Stop reasons are those of the messages dialect. */
sealed interface ResponseDelta {
    record Start(String id, String model, long inputTokens) implements ResponseDelta {}

    record Text(String text) implements ResponseDelta {}

    record Finish(String reason, long inputTokens, long outputTokens, long cachedTokens) implements ResponseDelta {}

    /** The last event: only with it is the answer whole. */
    record End() implements ResponseDelta {}

    record Failure(String type, String message) implements ResponseDelta {}

    /** Known, with no counterpart to write. */
    record Ignored() implements ResponseDelta {}

    /** Not known: skipped and counted. */
    record Unrecognized() implements ResponseDelta {}
}
