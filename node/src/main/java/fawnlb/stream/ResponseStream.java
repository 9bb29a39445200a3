package fawnlb.stream;

/**
 * One attempt and its stream, from its sending until neither side is owed anything. Whoever carries it out tells it
 * what happens and wakes it at {@link #wakeAtNanos}; what it decides reaches its owner.
 */
public final class ResponseStream {
    /** Nothing is waited for. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A thread that comes to its timers so late has not come to what was sent in the meantime either. */
    private static final long LATE_WAKE_NANOS = 100_000_000;

    private static final long RECHECK_DELAY_NANOS = 50_000_000;
    private static final int MAX_RECHECKS = 4;
    /** A reader that has taken nothing for so long has stopped, for the time being. */
    private static final long CLIENT_IDLE_NANOS = 1_000_000_000;
    /** Another attempt needs about so many times the usual wait. */
    private static final int RETRY_WAIT_MULTIPLE = 2;

    private final StreamRegistry registry;
    private final long backend;
    private final double promptTokens;
    private final long sentAtNanos;
    private final long responseDeadlineNanos;
    private final boolean canRetry;
    private final boolean isEventStream;
    private final StreamRegistry.Owner owner;
    private StreamState state = StreamState.AWAITING_HEAD;
    private ResponseProgress progress = ResponseProgress.BEFORE_HEAD;
    private AttemptEnd attemptEnd;
    private long silenceSinceNanos;
    private long clientProgressAtNanos;
    private long bufferedBytes;
    private boolean isAwaitingBackend;
    private boolean isClientBehind;
    private boolean clientStallReported;
    private int rechecks;
    private long recheckAtNanos;
    private long silenceTimeoutAtNanos;
    private long plannedWakeNanos = NEVER;

    ResponseStream(
            StreamRegistry registry,
            long backend,
            double promptTokens,
            long nowNanos,
            long responseDeadlineNanos,
            boolean canRetry,
            boolean isEventStream,
            StreamRegistry.Owner owner) {
        this.registry = registry;
        this.backend = backend;
        this.promptTokens = promptTokens;
        this.sentAtNanos = nowNanos;
        this.silenceSinceNanos = nowNanos;
        this.responseDeadlineNanos = responseDeadlineNanos;
        this.canRetry = canRetry;
        this.isEventStream = isEventStream;
        this.owner = owner;
        this.isAwaitingBackend = true;
    }

    long backend() {
        return backend;
    }

    public StreamState state() {
        return state;
    }

    /** Null until the backend's side or the client's has ended it. */
    public AttemptEnd attemptEnd() {
        return attemptEnd;
    }

    private void apply(StreamEvent event) {
        StreamState next = StreamStateMachine.stateAfter(state, event);
        if (next != null && next != state) {
            StreamState from = state;
            state = next;
            if (next == StreamState.CLOSED && attemptEnd == null) {
                attemptEnd = new AttemptEnd(EndReason.CLIENT_DISCONNECTED, progress);
            }
            registry.onStateChanged(this, from, next);
        }
    }

    private void recordEnd(EndReason reason) {
        if (attemptEnd == null) {
            attemptEnd = new AttemptEnd(reason, progress);
        }
    }

    // ---- The backend's side ----------------------------------------------------------------------------

    /** A head was read; with an answer, or with none. */
    public void onHead(long nowNanos, boolean isAnswer) {
        restartSilence(nowNanos);
        progress = isAnswer ? ResponseProgress.BEFORE_FIRST_EVENT : progress;
        apply(isAnswer ? StreamEvent.RESPONSE_HEAD : StreamEvent.ERROR_HEAD);
    }

    /** Bytes came that hold nothing for the client yet; the next are waited for. */
    public void onPartialData(long nowNanos) {
        restartSilence(nowNanos);
        if (state == StreamState.STALLED && progress == ResponseProgress.BEFORE_FIRST_EVENT) {
            apply(StreamEvent.RESPONSE_HEAD);
        } else {
            apply(StreamEvent.PARTIAL_DATA);
        }
    }

    /** Bytes for the client came: none are waited for until it has taken them. */
    public void onChunk(long nowNanos, int bytes) {
        if (isEventStream && progress != ResponseProgress.AFTER_FIRST_EVENT) {
            registry.latencyBaseline().wait(backend, promptTokens, nowNanos - sentAtNanos);
        } else if (isEventStream) {
            registry.latencyBaseline().gap(backend, nowNanos - silenceSinceNanos);
        }
        progress = ResponseProgress.AFTER_FIRST_EVENT;
        restartSilence(nowNanos);
        isAwaitingBackend = false;
        changeBufferedBytes(bytes);
        apply(StreamEvent.CHUNK);
    }

    private void restartSilence(long nowNanos) {
        silenceSinceNanos = nowNanos;
        rechecks = 0;
        recheckAtNanos = 0;
    }

    /** So many bytes are kept until the answer is whole, or can be put into the client's words. */
    public void setBufferedBytes(long bytes) {
        changeBufferedBytes(bytes - bufferedBytes);
        registry.enforceBufferLimit();
        if (registry.isOverBufferLimit() && attemptEnd == null) {
            evict();
        }
    }

    private void changeBufferedBytes(long change) {
        bufferedBytes += change;
        registry.onBufferedBytesChanged(this, change);
    }

    /** The answer is whole and on its way to the client; {@code end}: it may be the backend's own refusal. */
    public void onResponseComplete(EndReason reason) {
        recordEnd(reason);
        isAwaitingBackend = false;
        apply(StreamEvent.RESPONSE_COMPLETE);
        if (state != StreamState.FLUSHING) {
            // Nothing was shown of it: it is over for both sides.
            close();
        }
    }

    /** The backend's side is over and gives the client nothing more. */
    public void onBackendEnded(EndReason reason) {
        if (state == StreamState.FLUSHING || state == StreamState.CLOSED) {
            return;
        }
        recordEnd(reason);
        isAwaitingBackend = false;
        if (reason == EndReason.STALLED
                && isEventStream
                && progress != ResponseProgress.AFTER_FIRST_EVENT
                && silenceTimeoutAtNanos > 0) {
            registry.latencyBaseline().recordAbandonedWait(backend, promptTokens, silenceTimeoutAtNanos - sentAtNanos);
        }
        apply(StreamEvent.BACKEND_ENDED);
        if (progress != ResponseProgress.AFTER_FIRST_EVENT) {
            close();
        }
    }

    // ---- The client's side ----------------------------------------------------------------------------

    /** The client took all that was held for it, and the backend is waited for from now on. */
    public void onClientCaughtUp(long nowNanos) {
        restartSilence(nowNanos);
        isClientBehind = false;
        isAwaitingBackend = attemptEnd == null;
        registry.onClientCaughtUp(this);
        changeBufferedBytes(-bufferedBytes);
        apply(StreamEvent.CLIENT_CAUGHT_UP);
    }

    /** The client could not take all; so many bytes are left. */
    public void onClientBackpressure(long nowNanos, int remainingBytes) {
        boolean hasProgressed = remainingBytes < bufferedBytes;
        if (!isClientBehind || hasProgressed) {
            clientProgressAtNanos = nowNanos;
            registry.onClientProgress(this);
        }
        apply(isClientBehind && hasProgressed ? StreamEvent.CLIENT_PROGRESS : StreamEvent.CLIENT_BACKPRESSURE);
        isClientBehind = true;
        changeBufferedBytes(remainingBytes - bufferedBytes);
        registry.enforceBufferLimit();
    }

    /** The client has all that it will get. */
    public void close() {
        registry.onClientCaughtUp(this);
        changeBufferedBytes(-bufferedBytes);
        apply(StreamEvent.CLIENT_CLOSED);
    }

    void evict() {
        // Its bytes go with its connection, in a moment; no other need go for them.
        changeBufferedBytes(-bufferedBytes);
        abandon(EndReason.BUFFER_LIMIT_REACHED, StreamEvent.BACKEND_ENDED);
    }

    private void abandon(EndReason reason, StreamEvent event) {
        recordEnd(reason);
        if (attemptEnd.reason() != reason) {
            // The backend's side was over; the client's is over now.
            attemptEnd = new AttemptEnd(reason, progress);
        }
        isAwaitingBackend = false;
        isClientBehind = false;
        apply(event);
        owner.endStream(reason);
    }

    // ---- Time -----------------------------------------------------------------------------------------

    /** When to look at it again, at the latest; {@link #NEVER} if only after the next signal. */
    public long wakeAtNanos() {
        plannedWakeNanos = dueAtNanos();
        return plannedWakeNanos;
    }

    private long dueAtNanos() {
        if (state == StreamState.CLOSED || state == StreamState.ABORTED) {
            return NEVER;
        }
        return Math.max(
                recheckAtNanos, isClientBehind ? clientDueAtNanos() : isAwaitingBackend ? backendDueAtNanos() : NEVER);
    }

    private long clientDueAtNanos() {
        long clientTimeoutNanos = registry.timeouts().clientTimeoutNanos();
        return clientProgressAtNanos
                + (state == StreamState.CLIENT_SLOW
                        ? Math.min(CLIENT_IDLE_NANOS, clientTimeoutNanos / 2)
                        : clientTimeoutNanos);
    }

    private long backendDueAtNanos() {
        return switch (state) {
            case DISCARDING_BODY -> NEVER;
            case STALLED -> silenceLimitNanos();
            default -> Math.min(silenceLimitNanos(), silenceSuspectedAtNanos());
        };
    }

    /** When the present silence has lasted too long. */
    private long silenceLimitNanos() {
        StreamTimeouts timeouts = registry.timeouts();
        if (progress == ResponseProgress.AFTER_FIRST_EVENT) {
            return silenceSinceNanos
                    + (registry.isSilenceCommon() ? timeouts.maxSilenceNanos() : registry.allowedGapNanos(backend));
        }
        // What follows a head is due soon, whatever is usual; what precedes it has the time that the module gave it.
        long latest = progress == ResponseProgress.BEFORE_FIRST_EVENT
                ? silenceSinceNanos + timeouts.maxSilenceNanos()
                : NEVER;
        // A first event that has begun is no longer waited for: its stream is sound while its pieces come.
        return timeouts.isAdaptive() && isEventStream && canRetry && bufferedBytes == 0
                ? Math.min(latest, firstEventLimitNanos())
                : latest;
    }

    /** What remains must do for another attempt, or the wait goes on. */
    private long firstEventLimitNanos() {
        long limitNanos = firstEventSuspectedAtNanos();
        if (limitNanos != NEVER && registry.isSilenceCommon()) {
            limitNanos = Math.max(limitNanos, sentAtNanos + registry.timeouts().maxSilenceNanos());
        }
        return limitNanos
                        > responseDeadlineNanos
                                - RETRY_WAIT_MULTIPLE
                                        * registry.latencyBaseline().medianWaitNanos(promptTokens)
                ? NEVER
                : limitNanos;
    }

    private long firstEventSuspectedAtNanos() {
        long expectedNanos = registry.latencyBaseline()
                .wait(backend, promptTokens, registry.timeouts().suspicionLevel());
        return expectedNanos >= NEVER - sentAtNanos
                ? NEVER
                : sentAtNanos + Math.max(registry.timeouts().minFirstEventWaitNanos(), expectedNanos);
    }

    private long silenceSuspectedAtNanos() {
        if (!registry.timeouts().isAdaptive() || !isEventStream) {
            return NEVER;
        }
        if (progress != ResponseProgress.AFTER_FIRST_EVENT) {
            return firstEventSuspectedAtNanos();
        }
        long expectedNanos =
                registry.latencyBaseline().gap(backend, registry.timeouts().suspicionLevel());
        return expectedNanos >= NEVER - silenceSinceNanos ? NEVER : silenceSinceNanos + expectedNanos;
    }

    /** The time of {@link #wakeAtNanos} has come, or an earlier one. */
    public void wake(long nowNanos) {
        if (nowNanos < dueAtNanos()) {
            return;
        }
        if (nowNanos - plannedWakeNanos > LATE_WAKE_NANOS && rechecks < MAX_RECHECKS) {
            rechecks++;
            recheckAtNanos = nowNanos + RECHECK_DELAY_NANOS;
            return;
        }
        if (isClientBehind) {
            if (state == StreamState.CLIENT_SLOW) {
                apply(StreamEvent.CLIENT_IDLE);
                if (!clientStallReported) {
                    clientStallReported = true;
                    owner.onClientStalled();
                }
            } else {
                abandon(EndReason.CLIENT_STALLED, StreamEvent.CLIENT_TIMEOUT);
            }
            return;
        }
        apply(StreamEvent.SILENCE_SUSPECTED);
        if (nowNanos >= silenceLimitNanos()) {
            silenceTimeoutAtNanos = nowNanos;
            abandon(EndReason.STALLED, StreamEvent.SILENCE_TIMEOUT);
        }
    }
}
