package fawnlb.dialect;

/** What an answer is made of, in neither dialect's words. Stop reasons are those of the messages dialect. */
sealed interface Piece {
    record Start(String id, String model, long inputTokens) implements Piece {}

    record Text(String text) implements Piece {}

    record Stop(String reason, long inputTokens, long outputTokens, long keptTokens) implements Piece {}

    /** The last event: only with it is the answer whole. */
    record Done() implements Piece {}

    record Failure(String type, String message) implements Piece {}

    /** Known, with no counterpart to write. */
    record Silent() implements Piece {}

    /** Not known: skipped and counted. */
    record Unknown() implements Piece {}
}
