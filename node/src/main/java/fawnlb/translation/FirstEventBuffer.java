package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Keeps the beginning of a stream until its first event is whole. A backend that breaks off within it has answered
 * nothing, and another may be asked; a client that was shown a part of it would be left with no answer.
 */
public final class FirstEventBuffer {
    private final SseParser parser = new SseParser();
    private ByteArrayOutputStream pending = new ByteArrayOutputStream(0);

    /**
     * What of these bytes, and of those before, the client may be shown: nothing before the first event is whole, all
     * of it then, and each piece as it comes from there on. Fails where 256 KiB came without an event.
     */
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        if (pending == null) {
            return bytes;
        }
        if (pending.size() + bytes.remaining() > SseParser.MAX_EVENT_BYTES) {
            throw new IOException("no event in " + SseParser.MAX_EVENT_BYTES + " bytes");
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        pending.writeBytes(copy);
        if (parser.feed(ByteBuffer.wrap(copy)).isEmpty()) {
            return ByteBuffer.allocate(0);
        }
        return release();
    }

    /**
     * What is kept, after which each piece may be shown as it comes: whoever can wait no longer takes the stream as it
     * is.
     */
    public ByteBuffer release() {
        ByteBuffer released = ByteBuffer.wrap(pending == null ? new byte[0] : pending.toByteArray());
        pending = null;
        return released;
    }

    /** Bytes that are kept until the first event is whole. */
    public int bufferedBytes() {
        return pending == null ? 0 : pending.size();
    }
}
