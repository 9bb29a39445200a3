package fawnlb.proxy;

import fawnlb.stream.AttemptEnd;
import java.nio.ByteBuffer;

/** A backend's stream that has begun. It sends a sink one chunk, and the next when the sink asks for more. */
public interface ResponseSource {
    void streamTo(Sink sink);

    /** The sink has passed on its chunk. */
    void requestNextChunk();

    /** The sink can't pass on all of its chunk yet; so many bytes are left. Told again when fewer are. */
    void onUnsentBytes(int unsentBytes);

    /** The sink has all that it wants: the stream is over for its reader too. */
    void onSinkClosed();

    /** What takes a stream: chunks, and then one of the two ends. */
    interface Sink {
        void onChunk(ByteBuffer bytes);

        /** The stream is whole. */
        void onComplete();

        /** The stream broke; it must not look finished. */
        void onBroken(AttemptEnd end);
    }
}
