package fawnlb.translation;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Translates a backend's error response, at its end; the client gets the backend's message under the type for its
 * status.
 */
final class ErrorTranslator extends ResponseTranslator {
    private static final String DEFAULT_MESSAGE = "the target refused the request";

    private final ResponseBody body = new ResponseBody();
    private final Dialect clientDialect;
    private final int status;

    ErrorTranslator(Dialect clientDialect, int status) {
        this.clientDialect = clientDialect;
        this.status = status;
    }

    @Override
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        body.add(bytes);
        return ByteBuffer.allocate(0);
    }

    @Override
    public ByteBuffer finish() {
        return utf8(ErrorBody.json(clientDialect, status, message()));
    }

    private String message() {
        try {
            return FlatJson.parse(body.toByteArray()).text("error.message", DEFAULT_MESSAGE);
        } catch (MalformedJsonException e) {
            return DEFAULT_MESSAGE;
        }
    }

    @Override
    public int bufferedBytes() {
        return body.size();
    }

    @Override
    public long heapBytes() {
        return body.heapBytes();
    }
}
