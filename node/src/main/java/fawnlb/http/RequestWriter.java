package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSinkChannel;

/** Writes requests to a connection, one at a time and as fast as the remote side reads. */
@EventLoopOnly
final class RequestWriter {
    private final ConduitStreamSinkChannel channel;
    /** The buffers of the current request, null once all of them have been passed to the kernel. */
    private ByteBuffer[] unwritten;

    private long requestBytes;

    RequestWriter(ConduitStreamSinkChannel channel) {
        this.channel = channel;
    }

    /** Sets the next request. The caller must call {@link #write} then. */
    void setRequest(ByteBuffer... request) {
        unwritten = request;
        requestBytes = 0;
        for (ByteBuffer part : request) {
            requestBytes += part.remaining();
        }
    }

    /** The size of the last request that was set. */
    long requestBytes() {
        return requestBytes;
    }

    /** Whether the last byte of the request has been passed to the kernel. */
    boolean isDone() {
        return unwritten == null;
    }

    /** Drops what is left of the request. */
    void discard() {
        unwritten = null;
    }

    /**
     * Writes as much as possible now. If bytes are left, the channel calls its write listener when it can take more.
     */
    void write() throws IOException {
        try {
            if (writeAndFlush()) {
                unwritten = null;
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            channel.suspendWrites();
            throw e;
        }
    }

    private boolean writeAndFlush() throws IOException {
        while (unwritten != null && unwritten[unwritten.length - 1].hasRemaining()) {
            if (channel.write(unwritten, 0, unwritten.length) == 0) {
                return false;
            }
        }
        return channel.flush();
    }
}
