package fawnlb.backend;

import fawnlb.stream.EventProgress;
import fawnlb.translation.Dialect;
import fawnlb.translation.EventScanner;
import fawnlb.translation.ResponseTranslator;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The body of a response on its way to the client: takes the backend's bytes and returns those that can be relayed.
 * Belongs to the exchange that reads the response.
 */
abstract class RelayedBody {
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Translates the body or reads along; null where nobody needs its content. */
    private final ResponseTranslator parser;
    /** Null for a body that is no stream of events. */
    private final EventScanner scanner;

    RelayedBody(ResponseTranslator parser, EventScanner scanner) {
        this.parser = parser;
        this.scanner = scanner;
    }

    /**
     * Chooses how a body is relayed: translated if the client speaks another dialect, event by event if the client
     * asked for a stream, and in one piece otherwise.
     *
     * @param kind a kind that is relayed
     * @param tail the end of the body, to which the exchange adds what it reads
     */
    static RelayedBody create(
            OutboundRequest request, Dialect backendDialect, int status, ResponseKind kind, ResponseTail tail) {
        boolean isError = kind == ResponseKind.CLIENT_ERROR;
        EventScanner scanner = request.isStreamed() && !isError ? new EventScanner(backendDialect) : null;
        if (backendDialect != request.dialect()) {
            return new TranslatedBody(
                    isError
                            ? ResponseTranslator.forError(request.dialect(), status)
                            : ResponseTranslator.create(backendDialect, request.dialect(), request.isStreamed()),
                    scanner);
        }
        ResponseTranslator usageParser = isError || !request.responseSummary().collectsUsage()
                ? null
                : ResponseTranslator.create(backendDialect, backendDialect, request.isStreamed());
        return scanner != null
                ? new StreamedBody(usageParser, scanner, backendDialect, tail)
                : new BufferedBody(usageParser);
    }

    /** Whether the last event of a stream has come. */
    final boolean hasLastEvent() {
        return scanner != null && scanner.isLastEventComplete();
    }

    /** Looks at the next bytes of the backend, before {@link #feed}, and returns how far the events have come. */
    final EventProgress scan(ByteBuffer bytes) {
        if (scanner != null) {
            scanner.scan(bytes);
        }
        return eventProgress();
    }

    /** How far the events have come with the bytes that were looked at last. */
    final EventProgress eventProgress() {
        return scanner == null
                ? EventProgress.NONE
                : new EventProgress(
                        scanner.completedEvents(),
                        scanner.largestEventBytes(),
                        scanner.partialEventBytes(),
                        scanner.isLastEventComplete());
    }

    /**
     * Takes the next bytes of the backend and returns what the client gets for them, perhaps nothing yet.
     *
     * @throws IOException if the body can't be relayed
     */
    abstract ByteBuffer feed(ByteBuffer bytes) throws IOException;

    /**
     * Called when the framing has ended; returns what the client gets besides.
     *
     * @throws IOException if the answer itself has not ended
     */
    abstract ByteBuffer finish() throws IOException;

    /** Bytes that were taken and can't be relayed yet. */
    abstract int bufferedBytes();

    /** The heap that these bytes and their copies hold. */
    abstract long heapBytes();

    /** Whether a part of the first event has come, which could be relayed before the rest. */
    boolean hasPartialFirstEvent() {
        return false;
    }

    /** Returns that part of the first event, after {@link #hasPartialFirstEvent} was true. */
    ByteBuffer releaseFirstEvent() {
        throw new IllegalStateException("no partial first event");
    }

    /** Events of a type that is not known, which were left out or relayed unread; 0 where the body is not parsed. */
    final int unrecognizedEvents() {
        return parser == null ? 0 : parser.unrecognizedEvents();
    }

    /** Tokens that the backend has counted; 0 where the body is not parsed. */
    final long totalTokens() {
        return parser == null ? 0 : parser.totalTokens();
    }

    /** The heap that the parser holds for an event or a body that is not complete. */
    final long parserHeapBytes() {
        return parser == null ? 0 : parser.heapBytes();
    }

    /** Reads along without relaying: what the parser can't read, no client could. */
    final void inspect(ByteBuffer bytes) throws IOException {
        if (parser != null) {
            parser.feed(bytes.duplicate());
        }
    }

    /** Ends reading along. */
    final void finishInspection() throws IOException {
        if (parser != null) {
            parser.finish();
        }
    }

    static ByteBuffer empty() {
        return EMPTY.duplicate();
    }
}
