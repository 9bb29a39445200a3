package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.proxy.ResponseSource.Sink;
import fawnlb.stream.AttemptEnd;
import java.nio.ByteBuffer;

/**
 * Hands a response to its sink, which is known only some time after the response has begun. Belongs to the exchange
 * that reads the response.
 */
@EventLoopOnly
final class ResponseHandoff {
    private Sink sink;
    /** A chunk for a sink that is not known yet. */
    private ByteBuffer pendingChunk;

    /** Sets the sink, and hands it the chunk that waits for it. */
    void connect(Sink to) {
        sink = to;
        if (pendingChunk != null) {
            sink.onChunk(pendingChunk);
            pendingChunk = null;
        }
    }

    /** Whether the sink is known. */
    boolean isConnected() {
        return sink != null;
    }

    /** Hands the next chunk over. */
    void pass(ByteBuffer chunk) {
        if (sink == null) {
            pendingChunk = chunk;
        } else {
            sink.onChunk(chunk);
        }
    }

    /** Drops a chunk that waits for its sink. */
    void dropPending() {
        pendingChunk = null;
    }

    /** Tells the sink, if there is one, that the response has ended. */
    void complete() {
        if (sink != null) {
            sink.onComplete();
        }
    }

    /** Tells the sink, if there is one, that the response has broken off. */
    void breakOff(AttemptEnd end) {
        if (sink != null) {
            sink.onBroken(end);
        }
    }
}
