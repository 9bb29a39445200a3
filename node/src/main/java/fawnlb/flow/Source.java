package fawnlb.flow;

import java.nio.ByteBuffer;

/** A target's stream that has begun. It sends a sink one chunk, and the next when the sink asks for more. */
public interface Source {
    void into(Sink sink);

    /** The sink has passed on its chunk. */
    void more();

    /** What takes a stream: chunks, and then one of the two ends. */
    interface Sink {
        void chunk(ByteBuffer bytes);

        /** The stream is whole. */
        void end();

        /** The stream broke; it must not look finished. */
        void broken();
    }
}
