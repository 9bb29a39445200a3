package fawnlb.translation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Translates a response that is one JSON object, at its end. */
final class BodyTranslator extends WholeBodyTranslator {
    private final ResponseDecoder decoder;
    private final ResponseEncoder encoder;

    BodyTranslator(ResponseDecoder decoder, ResponseEncoder encoder) {
        this.decoder = decoder;
        this.encoder = encoder;
    }

    @Override
    public ByteBuffer finish() throws IOException {
        List<ResponseDelta> deltas = decoder.decodeBody(bodyBytes());
        deltas.forEach(this::recordDelta);
        return utf8(encoder.encodeBody(deltas));
    }
}
