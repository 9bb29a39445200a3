package fawnlb.stream;

/**
 * Decides how long the backend of one stream may be silent: after what time a silence is suspect, and after what time
 * the stream is ended. Before the first event the backend's usual wait for a prompt of this length counts, and an end
 * is early only if another attempt can follow; afterwards the usual gap between events counts. Belongs to its stream.
 */
final class SilenceDetector {
    /** Another attempt needs about this multiple of the median wait for a first event. */
    private static final int RETRY_WAIT_MULTIPLE = 2;

    private final StreamRegistry registry;
    private final StreamTimeouts timeouts;
    private final LatencyBaseline baseline;
    private final StreamParameters parameters;
    private final long sentAtNanos;
    private long silenceSinceNanos;

    SilenceDetector(StreamRegistry registry, StreamParameters parameters, long sentAtNanos) {
        this.registry = registry;
        this.timeouts = registry.timeouts();
        this.baseline = registry.latencyBaseline();
        this.parameters = parameters;
        this.sentAtNanos = sentAtNanos;
        this.silenceSinceNanos = sentAtNanos;
    }

    /** Starts a new silence: the backend has sent something, or is waited for again. */
    void restart(long nowNanos) {
        silenceSinceNanos = nowNanos;
    }

    /** When the backend has sent something last, or was waited for again. */
    long sinceNanos() {
        return silenceSinceNanos;
    }

    /** Learns from the silence that a chunk for the client has ended; to be called before {@link #restart}. */
    void recordChunk(long nowNanos, ResponseProgress progress) {
        if (!parameters.isEventStream()) {
            return;
        }
        if (progress == ResponseProgress.AFTER_FIRST_EVENT) {
            baseline.recordGap(parameters.backendId(), nowNanos - silenceSinceNanos);
        } else {
            baseline.recordWait(parameters.backendId(), parameters.promptTokens(), nowNanos - sentAtNanos);
        }
    }

    /** Learns from a wait for the first event that was ended at this time. */
    void recordAbandonedWait(long endedAtNanos) {
        if (parameters.isEventStream()) {
            baseline.recordAbandonedWait(parameters.backendId(), parameters.promptTokens(), endedAtNanos - sentAtNanos);
        }
    }

    /** When the present silence is longer than usual; {@link ResponseStream#NEVER} while the usual is not known. */
    long suspectedAtNanos(ResponseProgress progress) {
        if (!timeouts.isAdaptive() || !parameters.isEventStream()) {
            return ResponseStream.NEVER;
        }
        if (progress != ResponseProgress.AFTER_FIRST_EVENT) {
            return firstEventSuspectedAtNanos();
        }
        long gapNanos = baseline.gapNanos(parameters.backendId(), timeouts.suspicionLevel());
        return gapNanos >= ResponseStream.NEVER - silenceSinceNanos
                ? ResponseStream.NEVER
                : silenceSinceNanos + gapNanos;
    }

    private long firstEventSuspectedAtNanos() {
        long waitNanos =
                baseline.waitNanos(parameters.backendId(), parameters.promptTokens(), timeouts.suspicionLevel());
        return waitNanos >= ResponseStream.NEVER - sentAtNanos
                ? ResponseStream.NEVER
                : sentAtNanos + Math.max(timeouts.minFirstEventWaitNanos(), waitNanos);
    }

    /**
     * When the present silence ends the stream; {@link ResponseStream#NEVER} if only the load balancer's deadline does.
     *
     * @param hasPartialEvent whether a part of the first event has come: such a stream is not ended early for a retry
     */
    long limitNanos(ResponseProgress progress, boolean hasPartialEvent) {
        return switch (progress) {
            case AFTER_FIRST_EVENT ->
                silenceSinceNanos
                        + (registry.isSilenceCommon()
                                ? timeouts.maxSilenceNanos()
                                : registry.allowedGapNanos(parameters.backendId()));
            // What follows a head is due soon, whatever the usual wait is.
            case BEFORE_FIRST_EVENT ->
                Math.min(silenceSinceNanos + timeouts.maxSilenceNanos(), firstEventLimitNanos(hasPartialEvent));
            case BEFORE_HEAD -> firstEventLimitNanos(hasPartialEvent);
        };
    }

    /** The end of a wait for the first event that leaves time for another attempt. */
    private long firstEventLimitNanos(boolean hasPartialEvent) {
        if (!timeouts.isAdaptive() || !parameters.isEventStream() || !parameters.retryPossible() || hasPartialEvent) {
            return ResponseStream.NEVER;
        }
        long limitNanos = firstEventSuspectedAtNanos();
        if (limitNanos != ResponseStream.NEVER && registry.isSilenceCommon()) {
            limitNanos = Math.max(limitNanos, sentAtNanos + timeouts.maxSilenceNanos());
        }
        long retryNanos = RETRY_WAIT_MULTIPLE * baseline.medianWaitNanos(parameters.promptTokens());
        return limitNanos > parameters.responseDeadlineNanos() - retryNanos ? ResponseStream.NEVER : limitNanos;
    }
}
