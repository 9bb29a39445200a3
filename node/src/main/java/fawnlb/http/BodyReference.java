package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.memory.MemoryReservation;

/**
 * A counted reference to the bytes of a request's body. The bytes are dropped, and their memory is released, when the
 * last reference is closed: objects that hold references may be reachable for long after that.
 */
@EventLoopOnly
public final class BodyReference implements AutoCloseable {
    private final SharedBody body;
    private boolean closed;

    private static final class SharedBody {
        private byte[] bytes;
        private final MemoryReservation memory;
        private int references;

        SharedBody(byte[] bytes, MemoryReservation memory) {
            this.bytes = bytes;
            this.memory = memory;
        }

        void release() {
            if (--references == 0) {
                bytes = null;
                memory.release();
            }
        }
    }

    private BodyReference(SharedBody body) {
        this.body = body;
        body.references++;
    }

    /**
     * Returns the first reference to bytes.
     *
     * @param memory has the size of the bytes, and belongs to the references from now on
     */
    public static BodyReference create(byte[] bytes, MemoryReservation memory) {
        return new BodyReference(new SharedBody(bytes, memory));
    }

    /**
     * Returns another reference to the same bytes.
     *
     * @throws IllegalStateException if this reference is closed
     */
    public BodyReference retain() {
        requireOpen();
        return new BodyReference(body);
    }

    /**
     * Returns the bytes, which must not be kept for longer than the reference.
     *
     * @throws IllegalStateException if this reference is closed
     */
    public byte[] bytes() {
        requireOpen();
        return body.bytes;
    }

    /** Whether {@link #close} was called on this reference. */
    public boolean isClosed() {
        return closed;
    }

    /** Gives up this reference. Without effect if it is closed. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            body.release();
        }
    }

    private void requireOpen() {
        if (closed) {
            throw new IllegalStateException("the reference to the body is closed");
        }
    }
}
