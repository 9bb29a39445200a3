package fawnlb.backend;

import fawnlb.http.BodyReference;
import fawnlb.http.ResponseHead;
import fawnlb.proxy.Backends;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.EndReason;
import fawnlb.stream.EventProgress;
import fawnlb.stream.ResponseStream;
import fawnlb.stream.StreamParameters;
import fawnlb.stream.StreamRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * One attempt of a client's request: sends it, relays the response to a sink, and reports how it ends.
 *
 * <p>The sink gets one chunk at a time; the connection is read again when the sink has asked for the next one. The
 * {@link ResponseStream} decides when a silence or a slow client ends the attempt. The methods of
 * {@link ResponseSource} may be called from other actors and leave messages; everything else runs in the backend's
 * actor.
 */
final class AttemptExchange extends BackendExchange implements ResponseSource, StreamRegistry.Owner {
    private final AttemptParameters parameters;
    private final OutboundRequest request;
    /** Closed as soon as the request is written and its response has begun, since responses may take long. */
    private final BodyReference requestBody;

    private final Backends.AttemptListener listener;
    private final SendGuard sendGuard;
    private final AttemptReporter reporter;
    private final ResponseTail tail = new ResponseTail();
    private ResponseStream stream;
    private StreamWakeTimer wakeTimer;
    private ResponseHead responseHead;
    private ResponseKind responseKind;
    /** Null before the head, and for a response that is not relayed. */
    private RelayedBody body;

    private boolean isResponseComplete;
    /** Null but for a response that is not relayed. */
    private DiscardedBody discardedBody;

    private final ResponseHandoff handoff = new ResponseHandoff();

    AttemptExchange(Backend backend, AttemptParameters parameters, Backends.AttemptListener listener) {
        super(backend);
        this.parameters = parameters;
        this.request = parameters.request();
        this.requestBody = request.bodies().retain(backend.dialect());
        this.listener = listener;
        this.reporter = new AttemptReporter(backend, request, listener, tail);
        this.sendGuard = new SendGuard(backend, parameters, listener);
    }

    /** Gives up the request's body, for an attempt that is not started. */
    void releaseRequest() {
        requestBody.close();
    }

    /** Registers the attempt's stream; called once, before {@link #start}. */
    void openStream() {
        StreamParameters streamParameters = new StreamParameters(
                backend().identity().id(),
                parameters.promptTokens(),
                parameters.responseDeadlineNanos(),
                parameters.retryPossible(),
                request.isStreamed());
        stream = backend().streams().open(now(), streamParameters, this);
        wakeTimer = new StreamWakeTimer(stream, backend().timers(), this::tell);
        wakeTimer.schedule();
    }

    private long now() {
        return backend().timers().now();
    }

    private void tell(Runnable message) {
        backend().mailbox().tellOrFail(message, this::onInternalError);
    }

    // ---- Sending -------------------------------------------------------------------------------------------

    @Override
    boolean maySend() {
        Optional<SendObstacle> obstacle = sendGuard.findObstacle();
        obstacle.ifPresent(SendObstacle::count);
        return obstacle.isEmpty();
    }

    @Override
    ByteBuffer[] encodeRequest() {
        long remainingNanos = Math.max(0, parameters.responseDeadlineNanos() - now());
        return request.encode(
                requestBody.bytes(), backend().dialect(), backend().identity().hostAndPort(), remainingNanos);
    }

    @Override
    void onRequestSent() {
        sendGuard.verifySent();
    }

    // ---- The response --------------------------------------------------------------------------------------

    @Override
    public void onHead(ResponseHead response) {
        responseHead = response;
        responseKind = ResponseKind.of(response);
        stream.onHead(now(), responseKind.isRelayed());
        if (responseKind.isRelayed()) {
            body = RelayedBody.create(request, backend().dialect(), response.status(), responseKind, tail);
            wakeTimer.schedule();
        } else {
            wakeTimer.cancel();
            discardedBody = new DiscardedBody(backend().timers(), () -> tell(() -> abort(failureReason())));
        }
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        if (body == null) {
            discard(bytes);
            return;
        }
        try {
            tail.add(bytes);
            EventProgress events = body.scan(bytes);
            deliver(body.feed(bytes), events);
        } catch (IOException e) {
            abort(EndReason.MALFORMED);
        }
    }

    @Override
    public void onFraming(int wellFormedBytes) {
        if (body != null) {
            stream.onFraming(now(), wellFormedBytes);
        }
    }

    private void discard(ByteBuffer bytes) {
        if (discardedBody.discard(bytes)) {
            connection().resumeReading();
        } else {
            abort(failureReason());
        }
    }

    private void deliver(ByteBuffer bytes, EventProgress events) {
        if (!bytes.hasRemaining()) {
            stream.onPartialData(now(), events);
            stream.setHeapBytes(body.heapBytes());
            stream.setBufferedBytes(body.bufferedBytes());
            resumeReading();
            return;
        }
        reportChunk(bytes, events);
        handoff.pass(bytes);
    }

    private void reportChunk(ByteBuffer bytes, EventProgress events) {
        stream.setHeapBytes(bytes.capacity() + body.heapBytes());
        stream.onChunk(now(), bytes.remaining(), events);
        reportResponse();
    }

    /** Reads on, unless the exchange has lost its connection meanwhile. */
    private void resumeReading() {
        if (connection() != null) {
            wakeTimer.schedule();
            connection().resumeReading();
        }
    }

    /**
     * Reports the response with its first whole event, not with its head: until then the client has seen nothing, and
     * the request can still be sent to another backend.
     */
    private void reportResponse() {
        reporter.reportResponse(responseHead, responseKind, this);
        if (connection() == null || connection().isRequestWritten()) {
            releaseRequest();
        }
    }

    @Override
    void onResponseComplete() {
        isResponseComplete = body != null && deliverRemainder();
        if (reporter.isResponseReported() && !isResponseComplete) {
            // The framing has ended and the answer has not: the client must not take it for complete.
            finish(EndReason.TRUNCATED);
            return;
        }
        if (responseKind == ResponseKind.CLIENT_ERROR) {
            reportResponse();
            finish(EndReason.REJECTED);
            return;
        }
        // A stream that has ended without an event is no answer.
        finish(reporter.isResponseReported() ? EndReason.COMPLETED : failureReason());
    }

    /** Passes on what the body still holds, and returns whether the answer is complete. */
    private boolean deliverRemainder() {
        try {
            ByteBuffer remainder = body.finish();
            if (remainder.hasRemaining()) {
                stream.setBufferedBytes(0);
                reportChunk(remainder, EventProgress.NONE);
                handoff.pass(remainder);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Why a response that the client does not get has ended. */
    private EndReason failureReason() {
        return responseKind.failureReason(responseHead, backend().dialect());
    }

    // ---- The client's side: called by the sink -------------------------------------------------------------

    @Override
    public void streamTo(Sink to) {
        tell(() -> {
            handoff.connect(to);
            if (isFinished()) {
                endSink();
            }
        });
    }

    @Override
    public void requestNextChunk() {
        tell(() -> {
            stream.onClientCaughtUp(now());
            resumeReading();
        });
    }

    @Override
    public void onUnsentBytes(int unsentBytes) {
        tell(() -> {
            stream.onClientBackpressure(now(), unsentBytes);
            wakeTimer.schedule();
        });
    }

    @Override
    public void onSinkClosed() {
        tell(this::closeStream);
    }

    // ---- Ending --------------------------------------------------------------------------------------------

    /**
     * Ends the attempt because nobody waits for it any more. A response whose first event is arriving at its deadline
     * is relayed instead of being cut.
     */
    void cancel(EndReason reason) {
        if (!isFinished() && reason == EndReason.TIMED_OUT && isFirstEventArriving()) {
            // The next bytes were asked for already, and must not be read before the sink has taken these.
            connection().pauseReading();
            deliver(body.releaseFirstEvent(), body.eventProgress());
            return;
        }
        abort(reason);
        closeStream();
    }

    private boolean isFirstEventArriving() {
        return body != null && body.hasPartialFirstEvent() && stream.isFirstEventArriving(now());
    }

    private void closeStream() {
        handoff.dropPending();
        stream.close();
        wakeTimer.cancel();
    }

    @Override
    public void onClientStalled() {
        listener.onClientStalled();
    }

    /** Called by the stream when the backend or the client has been silent for too long, or the buffers are full. */
    @Override
    public void endStream(EndReason reason) {
        boolean wasFinished = isFinished();
        abort(reason);
        if (wasFinished) {
            // The backend's side had ended before; the sink still has to hear that the client's side does.
            breakSink();
        }
    }

    /** Ends the attempt after an exception that nobody expected in one of its messages. */
    void onInternalError() {
        abort(EndReason.CONNECTION_LOST);
        breakSink();
    }

    private void breakSink() {
        if (handoff.isConnected()) {
            isResponseComplete = false;
            handoff.breakOff(stream.attemptEnd());
        }
    }

    @Override
    void onFinished(EndReason reason) {
        releaseRequest();
        if (discardedBody != null) {
            discardedBody.close();
        }
        if (reason == EndReason.COMPLETED || reason == EndReason.REJECTED) {
            stream.onResponseComplete(reason);
        } else {
            stream.onBackendEnded(reason);
        }
        wakeTimer.cancel();
        wakeTimer.schedule();
        if (body != null) {
            reporter.recordUsage(body);
            body = null;
        }
        reporter.reportEnd(stream.attemptEnd(), responseHead);
        endSink();
    }

    private void endSink() {
        if (isResponseComplete) {
            handoff.complete();
        } else {
            handoff.breakOff(stream.attemptEnd());
        }
    }
}
