package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Turns one answer of a backend into the client's dialect as it comes; or only reads along, for its usage. */
public final class ResponseTranslator {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final boolean streaming;
    private final Dialect clientDialect;
    private final int errorStatus;
    private final SseParser parser = new SseParser();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final ResponseDecoder decoder;
    private final ResponseEncoder encoder;
    private boolean ended;
    private int unrecognizedEvents;
    private long inputTokens;
    private long outputTokens;

    public ResponseTranslator(Dialect from, Dialect to, boolean stream) {
        this(from, to, stream, 0);
    }

    private ResponseTranslator(Dialect from, Dialect to, boolean stream, int errorStatus) {
        this.decoder = new ResponseDecoder(from);
        this.encoder = new ResponseEncoder(to);
        this.streaming = stream;
        this.clientDialect = to;
        this.errorStatus = errorStatus;
    }

    /** For a body that is an error; both dialects keep its message in the same place. */
    public static ResponseTranslator forError(Dialect to, int status) {
        return new ResponseTranslator(to, to, false, status);
    }

    /** What the client gets for these bytes, perhaps nothing yet. */
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        if (!streaming) {
            if (body.size() + bytes.remaining() > MAX_RESPONSE_BYTES) {
                throw new IOException("answer longer than " + MAX_RESPONSE_BYTES + " bytes");
            }
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            body.writeBytes(copy);
            return ByteBuffer.allocate(0);
        }
        StringBuilder encoded = new StringBuilder();
        for (SseParser.Event event : parser.feed(bytes)) {
            for (ResponseDelta delta : decoder.decodeEvent(event)) {
                // What follows the last event is no part of the answer.
                if (!ended) {
                    recordDelta(delta);
                    encoded.append(encoder.encodeEvent(delta));
                }
            }
        }
        return utf8(encoded.toString());
    }

    /** The rest at the answer's end; an answer without its last event is an error, however its framing ended. */
    public ByteBuffer finish() throws IOException {
        if (streaming) {
            if (!ended) {
                throw new IOException("the answer has no last event");
            }
            return ByteBuffer.allocate(0);
        }
        if (errorStatus != 0) {
            return utf8(ErrorBody.json(clientDialect, errorStatus, errorMessage()));
        }
        List<ResponseDelta> deltas = decoder.decodeBody(body.toByteArray());
        deltas.forEach(this::recordDelta);
        return utf8(encoder.encodeBody(deltas));
    }

    private String errorMessage() {
        try {
            return FlatJson.parse(body.toByteArray()).text("error.message", "the target refused the request");
        } catch (IOException e) {
            return "the target refused the request";
        }
    }

    private void recordDelta(ResponseDelta delta) {
        ended |= delta instanceof ResponseDelta.End;
        unrecognizedEvents += delta instanceof ResponseDelta.Unrecognized ? 1 : 0;
        if (delta instanceof ResponseDelta.Finish stop) {
            inputTokens = stop.inputTokens();
            outputTokens = stop.outputTokens();
        }
    }

    private static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Bytes that were read and are kept until more of them can be told. */
    public int bufferedBytes() {
        return body.size() + parser.bufferedBytes();
    }

    /** Unknown events met so far. */
    public int unrecognizedEvents() {
        return unrecognizedEvents;
    }

    /** Tokens of prompt and answer, once the backend has told them. */
    public long totalTokens() {
        return inputTokens + outputTokens;
    }
}
