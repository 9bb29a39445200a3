package fawnlb.lab.engine;

/**
 * Size and time of a response that was written to its end.
 *
 * @param headBytes length of the head
 * @param totalBytes length of head and body, without the effect of a fault
 * @param completedAt when the last byte was written, on the fleet's clock
 */
public record CompletedResponse(int headBytes, int totalBytes, long completedAt) {
    static final CompletedResponse NONE = new CompletedResponse(0, 0, 0);
}
