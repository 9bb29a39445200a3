package fawnlb.backend;

import fawnlb.translation.Dialect;
import fawnlb.translation.EventScanner;
import fawnlb.translation.FirstEventBuffer;
import fawnlb.translation.MalformedResponseBodyException;
import fawnlb.translation.ResponseTranslator;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A stream of events that is relayed as it comes, from the first whole event on. */
final class StreamedBody extends RelayedBody {
    private final Dialect dialect;
    private final ResponseTail tail;
    private final FirstEventBuffer firstEventBuffer = new FirstEventBuffer();

    /** The parser is null where nobody needs the stream's usage. */
    StreamedBody(ResponseTranslator usageParser, EventScanner scanner, Dialect dialect, ResponseTail tail) {
        super(usageParser, scanner);
        this.dialect = dialect;
        this.tail = tail;
    }

    @Override
    ByteBuffer feed(ByteBuffer bytes) throws IOException {
        inspect(bytes);
        return firstEventBuffer.feed(bytes, eventProgress().completedEvents() > 0);
    }

    @Override
    ByteBuffer finish() throws IOException {
        if (!hasLastEvent() && !tail.hasLastEvent(dialect)) {
            throw new MalformedResponseBodyException("the answer has no last event");
        }
        return empty();
    }

    @Override
    int bufferedBytes() {
        return firstEventBuffer.bufferedBytes();
    }

    @Override
    long heapBytes() {
        return firstEventBuffer.heapBytes() + parserHeapBytes();
    }

    @Override
    boolean hasPartialFirstEvent() {
        return firstEventBuffer.bufferedBytes() > 0;
    }

    @Override
    ByteBuffer releaseFirstEvent() {
        return firstEventBuffer.release();
    }
}
