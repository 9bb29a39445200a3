package fawnlb.translation;

/** The reasons for which a model stops, in the words of the messages dialect, and their names in the chat dialect. */
final class FinishReason {
    static final String END_TURN = "end_turn";
    private static final String MAX_TOKENS = "max_tokens";
    private static final String TOOL_USE = "tool_use";
    private static final String CONTENT_FILTERED = "refusal";

    private FinishReason() {}

    /** Returns the reason for a {@code finish_reason} of the chat dialect. */
    static String fromChat(String finishReason) {
        return switch (finishReason) {
            case "length" -> MAX_TOKENS;
            case "tool_calls" -> TOOL_USE;
            case "content_filter" -> CONTENT_FILTERED;
            default -> END_TURN;
        };
    }

    /** Returns the {@code finish_reason} of the chat dialect for a reason. */
    static String toChat(String reason) {
        return switch (reason) {
            case MAX_TOKENS -> "length";
            case TOOL_USE -> "tool_calls";
            case CONTENT_FILTERED -> "content_filter";
            default -> "stop";
        };
    }
}
