package fawnlb.translation;

/**
 * Tokens that a backend reports for one response.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens tokens of the response
 * @param cachedTokens tokens of the prompt that the backend still held in its cache
 */
record Usage(long inputTokens, long outputTokens, long cachedTokens) {
    static final Usage NONE = new Usage(0, 0, 0);
}
