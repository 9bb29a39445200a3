package fawnlb.translation;

/** A part of a response, independent of the dialect that it was decoded from. */
sealed interface ResponseDelta {
    /** The response begins. */
    record Start(String id, String model, long inputTokens) implements ResponseDelta {}

    /** More text of the response. */
    record Text(String text) implements ResponseDelta {}

    /** The model stopped. The reason is one of the messages dialect, see {@link FinishReason}. */
    record Finish(String reason, Usage usage) implements ResponseDelta {}

    /** The final event: only a response with it is complete. */
    record End() implements ResponseDelta {}

    /** The backend reports an error within its response. */
    record Failure(String type, String message) implements ResponseDelta {}

    /** A known event that has no counterpart in the other dialect. */
    record Ignored() implements ResponseDelta {}

    /** An unknown event; it is skipped and counted. */
    record Unrecognized() implements ResponseDelta {}
}
