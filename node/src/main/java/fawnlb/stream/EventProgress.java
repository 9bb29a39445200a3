package fawnlb.stream;

/**
 * How far the events of an answer have come with the bytes of one read.
 *
 * @param completedEvents the events that the read has completed, up to the last one of the answer
 * @param largestEventBytes the size of the answer's largest event so far
 * @param partialEventBytes how much has come of the event that has begun and is not complete; 0 between two events
 * @param isLastEventComplete whether the answer's last event has come, so that only the end of its framing may follow
 */
public record EventProgress(
        int completedEvents, int largestEventBytes, int partialEventBytes, boolean isLastEventComplete) {
    /** The progress of a body that has no events. */
    public static final EventProgress NONE = new EventProgress(0, 0, 0, false);
}
