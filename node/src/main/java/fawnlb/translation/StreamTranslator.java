package fawnlb.translation;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Translates a response that is streamed as server-sent events, event by event. */
final class StreamTranslator extends ResponseTranslator {
    private final SseParser parser = new SseParser();
    private final ResponseDecoder decoder;
    private final ResponseEncoder encoder;
    private boolean ended;

    StreamTranslator(ResponseDecoder decoder, ResponseEncoder encoder) {
        this.decoder = decoder;
        this.encoder = encoder;
    }

    @Override
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        StringBuilder encoded = new StringBuilder();
        for (SseParser.Event event : parser.feed(bytes)) {
            encoded.append(translate(event));
        }
        return utf8(encoded.toString());
    }

    /** What follows the final event is no part of the response. */
    private String translate(SseParser.Event event) throws IOException {
        StringBuilder encoded = new StringBuilder();
        if (!ended) {
            for (ResponseDelta delta : decoder.decodeEvent(event)) {
                encoded.append(translate(delta));
            }
        }
        return encoded.toString();
    }

    private String translate(ResponseDelta delta) {
        ended = delta instanceof ResponseDelta.End;
        recordDelta(delta);
        return encoder.encodeEvents(delta);
    }

    /** A response without its final event is incomplete, even where its framing ended properly. */
    @Override
    public ByteBuffer finish() throws IOException {
        if (!ended) {
            throw new MalformedResponseBodyException("the answer has no last event");
        }
        return ByteBuffer.allocate(0);
    }

    @Override
    public int bufferedBytes() {
        return parser.bufferedBytes();
    }

    @Override
    public long heapBytes() {
        return parser.heapBytes();
    }
}
