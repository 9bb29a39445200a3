package fawnlb.proxy;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.stream.AttemptEnd;
import java.nio.ByteBuffer;

/**
 * A backend's response that has begun. It passes one chunk at a time: the next follows when the sink asks for it, so a
 * slow client slows its backend down and fills no memory.
 */
@EventLoopOnly
public interface ResponseSource {
    /** Starts to pass chunks to the sink. Called once. */
    void streamTo(Sink sink);

    /** The sink has written its chunk and is ready for the next one. */
    void requestNextChunk();

    /** The sink tried to write its chunk and could not write all of it. It tries again when the client takes more. */
    void onUnsentBytes(int unsentBytes);

    /** The sink takes no more: the response is complete for the client, or the client has left. */
    void onSinkClosed();

    /** Takes a response: chunks, and then one of the two ends. */
    interface Sink {
        /** Takes the next chunk, which belongs to the sink until it asks for another. */
        void onChunk(ByteBuffer bytes);

        /** The response is complete. */
        void onComplete();

        /** The response broke off. The client must not take it for complete. */
        void onBroken(AttemptEnd end);
    }
}
