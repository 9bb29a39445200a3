package fawnlb.stream;

/**
 * How far the events of an answer have come with the bytes of one read.
 *
 * @param completedEvents the events that the read has completed, up to the last one of the answer
 * @param hasEventEnd whether the read has ended an event with data, whatever its data is
 * @param largestEventBytes the size of the answer's largest event so far
 * @param partialEventBytes how much has come of the event that has begun and is not complete; 0 between two events
 * @param isPartialEventSound whether that event can still become one
 * @param isLastEventComplete whether the answer's last event has come, so that only the end of its framing may follow
 */
public record EventProgress(
        int completedEvents,
        boolean hasEventEnd,
        int largestEventBytes,
        int partialEventBytes,
        boolean isPartialEventSound,
        boolean isLastEventComplete) {
    /** The progress of a body that has no events. */
    public static final EventProgress NONE = new EventProgress(0, false, 0, 0, false, false);
}
