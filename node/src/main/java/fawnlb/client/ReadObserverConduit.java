package fawnlb.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Reports each read of a connection. Undertow doesn't report that a request's head begins. */
final class ReadObserverConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Runnable beforeRead;
    private final Runnable onBytesRead;

    /**
     * Creates a conduit.
     *
     * @param beforeRead runs before each read
     * @param onBytesRead runs after each read that returned bytes
     */
    ReadObserverConduit(StreamSourceConduit next, Runnable beforeRead, Runnable onBytesRead) {
        super(next);
        this.beforeRead = beforeRead;
        this.onBytesRead = onBytesRead;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        beforeRead.run();
        int count = super.read(buffer);
        if (count > 0) {
            onBytesRead.run();
        }
        return count;
    }
}
