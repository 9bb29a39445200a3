package fawnlb.stream;

/**
 * Decides how long a client may wait for the next event of its answer while its backend sends bytes. Only a complete
 * event starts a new wait, whatever its name and data are. Parts of an event or of the size line of a chunk prolong it,
 * as long as they come at the pace of a message that is being written slowly, and within bounds of size and time. All
 * other bytes prolong nothing. Belongs to its stream.
 */
final class ProgressDetector {
    private static final long MILLISECOND_NANOS = 1_000_000;

    /** Clients may wait 5 s after an event; half a second is left for late timers and the network. */
    private static final long MAX_EVENT_WAIT_NANOS = 4500 * MILLISECOND_NANOS;
    /** However steadily an event is being written, it ends the stream if it is not complete after this time. */
    private static final long MAX_SLOW_EVENT_WAIT_NANOS = 20_000 * MILLISECOND_NANOS;
    /** The longest pause between two parts of a message that is being written slowly. */
    private static final long MAX_PART_GAP_NANOS = 1200 * MILLISECOND_NANOS;
    /** Parts show that a message is being written slowly if they have come for this long. */
    private static final long MIN_WRITING_NANOS = 500 * MILLISECOND_NANOS;
    /** The slowest pace of an event, for each byte of it. */
    private static final long MAX_NANOS_PER_EVENT_BYTE = 150 * MILLISECOND_NANOS;
    /** An event that is being written slowly may be this large, and larger if the answer had larger ones. */
    private static final int MIN_SLOW_EVENT_BYTES = 256;
    /** No event shows yet how large the answer's events are; a first one may be larger than the others. */
    private static final int MAX_SLOW_FIRST_EVENT_BYTES = 1024;

    private static final int SLOW_EVENT_GROWTH = 2;
    /** The size lines and line ends between two events. */
    private static final int MAX_FRAMING_BYTES = 16;

    /** No event is larger, and what comes between two events is far smaller. */
    private static final long MAX_BYTES_WITHOUT_EVENT = 256 * 1024;

    private final long maxWaitNanos;
    private long lastEventNanos;
    private long bytesSinceEvent;
    private EventProgress progress = EventProgress.NONE;
    private boolean hasCompletedEvent;
    private int framingBytes;
    private boolean hasParts;
    /** When the parts began that came without a longer gap between them, and when the latest of them came. */
    private long writingSinceNanos;

    private long lastPartNanos;
    /** When the next part is due; later for each byte of an event, by the slowest pace. */
    private long nextPartDueNanos;

    private long lastEventByteNanos;

    /**
     * Creates a detector for an attempt that begins.
     *
     * @param maxSilenceNanos a client waits for at least as long as a backend may be silent
     */
    ProgressDetector(long nowNanos, long maxSilenceNanos) {
        this.maxWaitNanos = Math.max(MAX_EVENT_WAIT_NANOS, maxSilenceNanos);
        restart(nowNanos);
    }

    /** Starts a new wait: the head of the answer has come, or an event. */
    void restart(long nowNanos) {
        lastEventNanos = nowNanos;
        bytesSinceEvent = 0;
        framingBytes = 0;
        hasParts = false;
    }

    /** Takes how far the events have come with a read. */
    void onEvents(long nowNanos, EventProgress latest) {
        boolean isSameEvent =
                latest.completedEvents() == 0 && latest.partialEventBytes() >= progress.partialEventBytes();
        int newBytes = latest.partialEventBytes() - (isSameEvent ? progress.partialEventBytes() : 0);
        progress = latest;
        if (latest.completedEvents() > 0) {
            hasCompletedEvent = true;
            restart(nowNanos);
        }
        if (newBytes > 0) {
            lastEventByteNanos = nowNanos;
            if (isWithinEventBounds()) {
                addPart(nowNanos, newBytes * MAX_NANOS_PER_EVENT_BYTE);
            }
        }
    }

    private boolean isWithinEventBounds() {
        int maxBytes = progress.largestEventBytes() == 0
                ? MAX_SLOW_FIRST_EVENT_BYTES
                : Math.max(MIN_SLOW_EVENT_BYTES, SLOW_EVENT_GROWTH * progress.largestEventBytes());
        return !progress.isLastEventComplete() && progress.partialEventBytes() <= maxBytes;
    }

    /**
     * Takes bytes that were relayed and ended no event. A client that reads them slowly is not waiting, so that their
     * number is limited, and not their time alone.
     */
    void onRelayedWithoutEvent(long bytes) {
        bytesSinceEvent += bytes;
    }

    /** Takes bytes of a size line, or of the line end of a chunk, such as the answer's other chunks have. */
    void onFraming(long nowNanos, int wellFormedBytes) {
        framingBytes += wellFormedBytes;
        if (wellFormedBytes > 0 && framingBytes <= MAX_FRAMING_BYTES) {
            addPart(nowNanos, MAX_PART_GAP_NANOS);
        }
    }

    /** Takes a part of a message, which allows this much time for the next one. A burst allows no more than a gap. */
    private void addPart(long nowNanos, long allowedNanos) {
        if (!hasParts || nowNanos - lastPartNanos > MAX_PART_GAP_NANOS) {
            hasParts = true;
            writingSinceNanos = nowNanos;
            nextPartDueNanos = nowNanos + MAX_PART_GAP_NANOS;
        } else {
            nextPartDueNanos = Math.min(nextPartDueNanos + allowedNanos, nowNanos + MAX_PART_GAP_NANOS);
        }
        lastPartNanos = nowNanos;
    }

    /** Leaves out a time in which the client, and not the backend, was waited for. */
    void excludeNanos(long nanos) {
        lastEventNanos += nanos;
        writingSinceNanos += nanos;
        lastPartNanos += nanos;
        nextPartDueNanos += nanos;
        lastEventByteNanos += nanos;
    }

    /** Whether an event has begun whose parts still come. */
    boolean isEventArriving(long nowNanos) {
        return hasPartialEvent() && nowNanos - lastEventByteNanos <= MAX_PART_GAP_NANOS;
    }

    /** Whether an event is complete or has begun, be it one that the client gets or not. */
    boolean hasEvent() {
        return hasCompletedEvent || hasPartialEvent();
    }

    /** Whether an event has begun and is not complete. */
    private boolean hasPartialEvent() {
        return progress.partialEventBytes() > 0;
    }

    /**
     * Whether the latest input is so old that the backend has stopped sending, rather than sending what is no event.
     */
    static boolean isSilent(long nowNanos, long latestInputNanos) {
        return nowNanos - latestInputNanos >= MAX_PART_GAP_NANOS;
    }

    /** When the client has waited for too long. */
    long limitNanos() {
        if (bytesSinceEvent > MAX_BYTES_WITHOUT_EVENT) {
            return lastEventNanos;
        }
        long limitNanos = lastEventNanos + maxWaitNanos;
        if (!isBeingWrittenSlowly()) {
            return limitNanos;
        }
        long slowLimitNanos = Math.min(nextPartDueNanos, lastEventNanos + MAX_SLOW_EVENT_WAIT_NANOS);
        return Math.max(limitNanos, slowLimitNanos);
    }

    private boolean isBeingWrittenSlowly() {
        return hasParts && lastPartNanos - writingSinceNanos >= MIN_WRITING_NANOS;
    }
}
