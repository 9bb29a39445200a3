package fawnlb.flow;

import fawnlb.stream.Ending;
import java.nio.ByteBuffer;

/** A backend's stream that has begun. It sends a sink one chunk, and the next when the sink asks for more. */
public interface Source {
    void into(Sink sink);

    /** The sink has passed on its chunk. */
    void more();

    /** The sink can't pass on all of its chunk yet; so many bytes are left. Told again when fewer are. */
    void lags(int left);

    /** The sink has all that it wants: the stream is over for its reader too. */
    void closed();

    /** What takes a stream: chunks, and then one of the two ends. */
    interface Sink {
        void chunk(ByteBuffer bytes);

        /** The stream is whole. */
        void end();

        /** The stream broke; it must not look finished. */
        void broken(Ending ending);
    }
}
