package fawnlb.translation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Translates a response that is one JSON object, at its end. */
final class BodyTranslator extends ResponseTranslator {
    private final ResponseBody body = new ResponseBody();
    private final ResponseDecoder decoder;
    private final ResponseEncoder encoder;

    BodyTranslator(ResponseDecoder decoder, ResponseEncoder encoder) {
        this.decoder = decoder;
        this.encoder = encoder;
    }

    @Override
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        body.add(bytes);
        return ByteBuffer.allocate(0);
    }

    @Override
    public ByteBuffer finish() throws IOException {
        List<ResponseDelta> deltas = decoder.decodeBody(body.toByteArray());
        deltas.forEach(this::recordDelta);
        return utf8(encoder.encodeBody(deltas));
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
