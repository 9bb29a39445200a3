package fawnlb.backend;

import fawnlb.translation.EventScanner;
import fawnlb.translation.ResponseTranslator;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A body that is translated to the client's dialect as it comes. */
final class TranslatedBody extends RelayedBody {
    private final ResponseTranslator translator;

    /** The scanner is null for a body that is no stream of events. */
    TranslatedBody(ResponseTranslator translator, EventScanner scanner) {
        super(translator, scanner);
        this.translator = translator;
    }

    @Override
    ByteBuffer feed(ByteBuffer bytes) throws IOException {
        return translator.feed(bytes);
    }

    @Override
    ByteBuffer finish() throws IOException {
        return translator.finish();
    }

    @Override
    int bufferedBytes() {
        return translator.bufferedBytes();
    }

    @Override
    long heapBytes() {
        return parserHeapBytes();
    }
}
