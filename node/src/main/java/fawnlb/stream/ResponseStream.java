package fawnlb.stream;

import fawnlb.decision.EndpointId;
import fawnlb.memory.MemoryReservation;

/**
 * One attempt and the stream of its response, from the attempt's start until both the backend's and the client's side
 * have ended.
 *
 * <p>The exchange that carries the attempt out reports here what happens on either side, and calls {@link #wake} at the
 * time of {@link #wakeAtNanos}. What the stream decides, it tells its {@link StreamRegistry.Owner}, in the middle of
 * the call that led to the decision. Belongs to the thread of its registry.
 */
public final class ResponseStream {
    /** The time of something that is not expected to happen. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A client that has read nothing for this long has stopped reading, for the time being. */
    private static final long CLIENT_IDLE_NANOS = 1_000_000_000;

    private final StreamRegistry registry;
    private final EndpointId backendId;
    private final StreamRegistry.Owner owner;
    private final SilenceDetector silence;
    private final ProgressDetector eventProgress;
    private final boolean isEventStream;
    private final MemoryReservation memory;
    private StreamState state = StreamState.AWAITING_HEAD;
    private ResponseProgress progress = ResponseProgress.BEFORE_HEAD;
    private AttemptEnd attemptEnd;
    private long bufferedBytes;
    private boolean isAwaitingBackend = true;
    /** When the client was given the latest chunk. */
    private long chunkAtNanos;

    private boolean isClientBehind;
    private long clientProgressAtNanos;
    private boolean isClientStallReported;
    private final LateWakeGuard lateWakeGuard = new LateWakeGuard();
    /** When a silence of the backend has ended the stream, 0 while none has. */
    private long silenceTimeoutAtNanos;

    ResponseStream(StreamRegistry registry, StreamParameters parameters, long nowNanos, StreamRegistry.Owner owner) {
        this.registry = registry;
        this.backendId = parameters.backendId();
        this.owner = owner;
        this.memory = registry.openReservation();
        this.silence = new SilenceDetector(registry, parameters, nowNanos);
        this.eventProgress = new ProgressDetector(nowNanos, registry.timeouts().maxSilenceNanos());
        this.isEventStream = parameters.isEventStream();
    }

    EndpointId backendId() {
        return backendId;
    }

    /** The state of both sides together. */
    public StreamState state() {
        return state;
    }

    /** How the attempt has ended, null until one of the sides has ended it. */
    public AttemptEnd attemptEnd() {
        return attemptEnd;
    }

    private void apply(StreamEvent event) {
        StreamState next = StreamStateMachine.stateAfter(state, event);
        if (next != null && next != state) {
            StreamState previous = state;
            state = next;
            if (next == StreamState.CLOSED) {
                recordEnd(EndReason.CLIENT_DISCONNECTED);
            }
            registry.onStateChanged(this, previous, next);
        }
    }

    /** The first reason counts. */
    private void recordEnd(EndReason reason) {
        if (attemptEnd == null) {
            attemptEnd = new AttemptEnd(reason, progress);
        }
    }

    // ---- The backend's side --------------------------------------------------------------------------------

    /** The head of a response was read. It is an answer if its body goes to the client. */
    public void onHead(long nowNanos, boolean isAnswer) {
        silence.restart(nowNanos);
        eventProgress.restart(nowNanos);
        lateWakeGuard.reset();
        if (isAnswer) {
            progress = ResponseProgress.BEFORE_FIRST_EVENT;
        }
        apply(isAnswer ? StreamEvent.RESPONSE_HEAD : StreamEvent.ERROR_HEAD);
    }

    /**
     * Bytes were read that are no part of the body, such as a part of a chunk's size.
     *
     * @param wellFormedBytes how many of them are such as the framing of the answer's other chunks has
     */
    public void onFraming(long nowNanos, int wellFormedBytes) {
        eventProgress.onFraming(nowNanos, wellFormedBytes);
        onNothingForClient(nowNanos);
    }

    /** Bytes were read that hold nothing for the client yet; the next are waited for. */
    public void onPartialData(long nowNanos, EventProgress events) {
        takeEvents(nowNanos, events);
        onNothingForClient(nowNanos);
    }

    private void takeEvents(long nowNanos, EventProgress events) {
        eventProgress.onEvents(nowNanos, events);
        if (events.completedEvents() > 0) {
            lateWakeGuard.reset();
        }
    }

    private void onNothingForClient(long nowNanos) {
        silence.restart(nowNanos);
        boolean endsStallBeforeFirstEvent =
                state == StreamState.STALLED && progress == ResponseProgress.BEFORE_FIRST_EVENT;
        apply(endsStallBeforeFirstEvent ? StreamEvent.RESPONSE_HEAD : StreamEvent.PARTIAL_DATA);
    }

    /** Bytes for the client were read. The backend is not waited for until the client has read them. */
    public void onChunk(long nowNanos, int bytes, EventProgress events) {
        takeEvents(nowNanos, events);
        if (events.completedEvents() == 0) {
            eventProgress.onRelayedWithoutEvent(bytes);
        }
        silence.recordChunk(nowNanos, progress);
        chunkAtNanos = nowNanos;
        progress = ResponseProgress.AFTER_FIRST_EVENT;
        silence.restart(nowNanos);
        isAwaitingBackend = false;
        changeBufferedBytes(bytes);
        apply(StreamEvent.CHUNK);
    }

    /**
     * Sets how much of the heap the bytes that are not yet with the client hold, their copies and the unused parts of
     * their buffers included. To be called before the report of these bytes; it is 0 again when the client has all.
     */
    public void setHeapBytes(long heapBytes) {
        memory.resize(heapBytes);
    }

    /** Sets how many bytes wait to be relayed, until an event or the whole response is there. May evict streams. */
    public void setBufferedBytes(long bytes) {
        changeBufferedBytes(bytes - bufferedBytes);
        registry.bufferLimit().enforce();
        if (registry.bufferLimit().isExceeded() && attemptEnd == null) {
            evict();
        }
    }

    private void dropBufferedBytes() {
        changeBufferedBytes(-bufferedBytes);
        memory.release();
    }

    private void changeBufferedBytes(long change) {
        bufferedBytes += change;
        registry.changeBufferedBytes(this, change);
    }

    /** The response is complete and on its way to the client, be it an answer or the backend's rejection. */
    public void onResponseComplete(EndReason reason) {
        recordEnd(reason);
        isAwaitingBackend = false;
        apply(StreamEvent.RESPONSE_COMPLETE);
        if (state != StreamState.FLUSHING) {
            // The client was sent nothing of it, so both sides have ended.
            close();
        }
    }

    /** The backend's side has ended before the response was complete; the client gets nothing more. */
    public void onBackendEnded(EndReason reason) {
        if (state == StreamState.FLUSHING || state == StreamState.CLOSED) {
            return;
        }
        recordEnd(reason);
        isAwaitingBackend = false;
        boolean hasClientData = progress == ResponseProgress.AFTER_FIRST_EVENT;
        if (attemptEnd.isTimeout() && !hasClientData && silenceTimeoutAtNanos > 0) {
            silence.recordAbandonedWait(silenceTimeoutAtNanos);
        }
        apply(StreamEvent.BACKEND_ENDED);
        if (!hasClientData) {
            close();
        }
    }

    // ---- The client's side ---------------------------------------------------------------------------------

    /** The client has read all that was sent to it; the backend is waited for from now on. */
    public void onClientCaughtUp(long nowNanos) {
        silence.restart(nowNanos);
        eventProgress.excludeNanos(nowNanos - chunkAtNanos);
        isClientBehind = false;
        isAwaitingBackend = attemptEnd == null;
        registry.bufferLimit().onClientCaughtUp(this);
        dropBufferedBytes();
        apply(StreamEvent.CLIENT_CAUGHT_UP);
    }

    /** The client's connection does not take all that was sent to it; the given number of bytes are left. */
    public void onClientBackpressure(long nowNanos, int remainingBytes) {
        boolean hasProgressed = remainingBytes < bufferedBytes;
        if (!isClientBehind || hasProgressed) {
            clientProgressAtNanos = nowNanos;
            registry.bufferLimit().onClientProgress(this);
        }
        apply(isClientBehind && hasProgressed ? StreamEvent.CLIENT_PROGRESS : StreamEvent.CLIENT_BACKPRESSURE);
        isClientBehind = true;
        changeBufferedBytes(remainingBytes - bufferedBytes);
        registry.bufferLimit().enforce();
    }

    /** The client's side has ended: it has all, or its connection is closed. */
    public void close() {
        registry.bufferLimit().onClientCaughtUp(this);
        dropBufferedBytes();
        apply(StreamEvent.CLIENT_CLOSED);
    }

    /** Ends the stream because too many bytes are buffered. */
    void evict() {
        // The bytes go with the client's connection in a moment; counted until then, they would evict another stream.
        dropBufferedBytes();
        abandon(EndReason.BUFFER_LIMIT_REACHED, StreamEvent.BACKEND_ENDED);
    }

    private void abandon(EndReason reason, StreamEvent event) {
        // If the backend's side has ended, with another reason, it is the client's side that ends now.
        if (attemptEnd == null || attemptEnd.reason() != reason) {
            attemptEnd = new AttemptEnd(reason, progress);
        }
        isAwaitingBackend = false;
        isClientBehind = false;
        apply(event);
        owner.endStream(reason);
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /** Returns when to call {@link #wake}, {@link #NEVER} if not before the next report. */
    public long wakeAtNanos() {
        long wakeAtNanos = dueAtNanos();
        lateWakeGuard.plan(wakeAtNanos);
        return wakeAtNanos;
    }

    private long dueAtNanos() {
        if (state == StreamState.CLOSED || state == StreamState.ABORTED) {
            return NEVER;
        }
        if (isClientBehind) {
            return lateWakeGuard.earliest(clientDueAtNanos());
        }
        return isAwaitingBackend ? lateWakeGuard.earliest(backendDueAtNanos()) : NEVER;
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
            case STALLED -> backendLimitNanos();
            default -> Math.min(backendLimitNanos(), silence.suspectedAtNanos(progress));
        };
    }

    private long backendLimitNanos() {
        return Math.min(silenceLimitNanos(), eventLimitNanos());
    }

    private long silenceLimitNanos() {
        return silence.limitNanos(progress, isEventStream ? eventProgress.hasEvent() : bufferedBytes != 0);
    }

    private long eventLimitNanos() {
        return isEventStream && progress != ResponseProgress.BEFORE_HEAD ? eventProgress.limitNanos() : NEVER;
    }

    /** Whether a part of the first event has come just now, so that the rest of it may be expected. */
    public boolean isFirstEventArriving(long nowNanos) {
        return progress == ResponseProgress.BEFORE_FIRST_EVENT && eventProgress.isEventArriving(nowNanos);
    }

    /** Looks for a silence of the backend or the client that has lasted too long; calls before the time do nothing. */
    public void wake(long nowNanos) {
        if (nowNanos < dueAtNanos()) {
            return;
        }
        if (lateWakeGuard.isPutOff(nowNanos)) {
            return;
        }
        if (isClientBehind) {
            checkClient();
        } else {
            checkBackend(nowNanos);
        }
    }

    private void checkClient() {
        if (state != StreamState.CLIENT_SLOW) {
            abandon(EndReason.CLIENT_STALLED, StreamEvent.CLIENT_TIMEOUT);
            return;
        }
        apply(StreamEvent.CLIENT_IDLE);
        if (!isClientStallReported) {
            isClientStallReported = true;
            owner.onClientStalled();
        }
    }

    private void checkBackend(long nowNanos) {
        apply(StreamEvent.SILENCE_SUSPECTED);
        if (nowNanos >= backendLimitNanos()) {
            silenceTimeoutAtNanos = nowNanos;
            abandon(isBackendSilent(nowNanos) ? EndReason.STALLED : EndReason.NO_PROGRESS, StreamEvent.SILENCE_TIMEOUT);
        }
    }

    /** Whether nothing has come since the latest progress, rather than bytes that are none. */
    private boolean isBackendSilent(long nowNanos) {
        return nowNanos >= silenceLimitNanos() || ProgressDetector.isSilent(nowNanos, silence.sinceNanos());
    }
}
