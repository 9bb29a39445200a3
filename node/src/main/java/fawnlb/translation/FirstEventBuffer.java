package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Withholds the first bytes of a stream until its first event is complete. A backend that fails before that has sent
 * the client nothing, so that the request can be retried on another backend.
 */
public final class FirstEventBuffer {
    /** A growing buffer may be twice as large as its content. */
    private static final int MAX_BUFFER_GROWTH = 2;

    /** The bytes that are withheld; null after their release. */
    private ByteArrayOutputStream pending = new ByteArrayOutputStream(0);

    /**
     * Takes the next bytes of the stream.
     *
     * @param completesEvent whether an event ends within them
     * @return what may be forwarded: nothing before the first event is complete, then all bytes so far, then the bytes
     *     as given
     * @throws MalformedResponseBodyException if the first event exceeds the size limit for events
     */
    public ByteBuffer feed(ByteBuffer bytes, boolean completesEvent) throws MalformedResponseBodyException {
        if (pending == null) {
            return bytes;
        }
        if (pending.size() + bytes.remaining() > SseParser.MAX_EVENT_BYTES) {
            throw new MalformedResponseBodyException("no event in " + SseParser.MAX_EVENT_BYTES + " bytes");
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        pending.writeBytes(copy);
        return completesEvent ? release() : ByteBuffer.allocate(0);
    }

    /** Returns the withheld bytes and withholds no more, for a caller that can't wait for the event's end. */
    public ByteBuffer release() {
        ByteBuffer released = ByteBuffer.wrap(pending == null ? new byte[0] : pending.toByteArray());
        pending = null;
        return released;
    }

    /** Returns the number of bytes that are withheld. */
    public int bufferedBytes() {
        return pending == null ? 0 : pending.size();
    }

    /** Returns the heap that the withheld bytes hold, at the most. */
    public long heapBytes() {
        return (long) MAX_BUFFER_GROWTH * bufferedBytes();
    }
}
