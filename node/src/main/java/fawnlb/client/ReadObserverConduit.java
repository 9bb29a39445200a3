package fawnlb.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Reports each read of a connection. Undertow doesn't report that a request's head begins. */
final class ReadObserverConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Runnable beforeRead;
    private final ReadListener onBytesRead;

    /** Receives the bytes of a read. */
    @FunctionalInterface
    interface ReadListener {
        /** Called after each read that returned bytes, which stand in the buffer from one index to before the other. */
        void onBytesRead(ByteBuffer buffer, int from, int to);
    }

    /**
     * Creates a conduit.
     *
     * @param beforeRead runs before each read
     * @param onBytesRead is called after each read that returned bytes
     */
    ReadObserverConduit(StreamSourceConduit next, Runnable beforeRead, ReadListener onBytesRead) {
        super(next);
        this.beforeRead = beforeRead;
        this.onBytesRead = onBytesRead;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        beforeRead.run();
        int count = super.read(buffer);
        if (count > 0) {
            onBytesRead.onBytesRead(buffer, buffer.position() - count, buffer.position());
        }
        return count;
    }
}
