package fawnlb.stream;

/**
 * What holds for streams. Times are nanoseconds, sizes bytes.
 *
 * @param learned whether silences are judged by what is usual; else {@code mostSilence} alone holds, after the head
 * @param suspicion what is usual is what is exceeded once in so many, as a power of ten
 * @param pause a box may pause for so long in mid-answer and go on: a stream that has begun is given up when the usual
 *     gap and this have passed
 * @param mostSilence and never kept for a longer one while its reader is ready
 * @param leastWait a first event is waited for so long at least, whatever is usual
 * @param majority a silence that this share of the backends with streams has in common is the fleet's, not the
 *     backend's
 * @param readerPatience a reader that takes no byte for so long is left
 * @param mostHeld bytes that may be held for all streams together
 */
public record Rules(
        boolean learned,
        double suspicion,
        long pause,
        long mostSilence,
        long leastWait,
        double majority,
        long readerPatience,
        long mostHeld) {
    private static final long MS = 1_000_000;

    /** What holds where no file says otherwise: clients are left waiting at most 5 s after a backend's last event. */
    public static Rules standard() {
        return new Rules(true, 5, 3000 * MS, 4500 * MS, 500 * MS, 0.6, 20_000 * MS, 16L << 20);
    }
}
