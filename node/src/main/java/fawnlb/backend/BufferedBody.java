package fawnlb.backend;

import fawnlb.translation.MalformedResponseBodyException;
import fawnlb.translation.ResponseTranslator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A body that is relayed in one piece when it is complete: the first half of an object under status 200 would look like
 * the whole of it.
 */
final class BufferedBody extends RelayedBody {
    /** The longest answer without streaming; the models' token limits keep real ones far below. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 1 << 20;
    /** A growing buffer may be twice as large as its content. */
    private static final int MAX_BUFFER_GROWTH = 2;

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(0);

    /** The parser is null where nobody needs the answer's usage. */
    BufferedBody(ResponseTranslator usageParser) {
        super(usageParser, null);
    }

    @Override
    ByteBuffer feed(ByteBuffer bytes) throws IOException {
        inspect(bytes);
        if (buffer.size() + bytes.remaining() > MAX_BUFFERED_RESPONSE_BYTES) {
            throw new MalformedResponseBodyException("answer longer than " + MAX_BUFFERED_RESPONSE_BYTES + " bytes");
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        buffer.writeBytes(copy);
        return empty();
    }

    @Override
    ByteBuffer finish() throws IOException {
        if (buffer.size() > 0) {
            finishInspection();
        }
        return ByteBuffer.wrap(buffer.toByteArray());
    }

    @Override
    int bufferedBytes() {
        return buffer.size();
    }

    @Override
    long heapBytes() {
        return (long) MAX_BUFFER_GROWTH * buffer.size() + parserHeapBytes();
    }
}
