package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Collects a response that can be translated only as a whole. */
final class ResponseBody {
    private static final int MAX_BYTES = 1 << 20;
    /** A growing buffer may be twice as large as its content. */
    private static final int MAX_BUFFER_GROWTH = 2;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    void add(ByteBuffer bytes) throws MalformedResponseBodyException {
        if (collected.size() + bytes.remaining() > MAX_BYTES) {
            throw new MalformedResponseBodyException("answer longer than " + MAX_BYTES + " bytes");
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        collected.writeBytes(copy);
    }

    byte[] toByteArray() {
        return collected.toByteArray();
    }

    int size() {
        return collected.size();
    }

    /** Returns the heap that the bytes hold, at the most. */
    long heapBytes() {
        return (long) MAX_BUFFER_GROWTH * collected.size();
    }
}
