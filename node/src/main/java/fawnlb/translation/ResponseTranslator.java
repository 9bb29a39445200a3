package fawnlb.translation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Translates one response of a backend to the client's dialect while it arrives. Between a client and a backend of the
 * same dialect a translator only counts tokens and events, and its output is not used. It is called on one I/O thread.
 */
public abstract class ResponseTranslator {
    private int unrecognizedEvents;
    private long totalTokens;

    ResponseTranslator() {}

    /** Returns a translator for a response to a request that asked for a stream, or that did not. */
    public static ResponseTranslator create(Dialect from, Dialect to, boolean streamed) {
        return streamed ? forStream(from, to) : forBody(from, to);
    }

    /** Returns a translator for a response that is streamed as server-sent events. */
    public static ResponseTranslator forStream(Dialect from, Dialect to) {
        return new StreamTranslator(ResponseDecoder.forDialect(from), ResponseEncoder.forDialect(to));
    }

    /** Returns a translator for a response that is one JSON object. */
    public static ResponseTranslator forBody(Dialect from, Dialect to) {
        return new BodyTranslator(ResponseDecoder.forDialect(from), ResponseEncoder.forDialect(to));
    }

    /** Returns a translator for an error response; both dialects hold its message at the same place. */
    public static ResponseTranslator forError(Dialect to, int status) {
        return new ErrorTranslator(to, status);
    }

    /**
     * Takes the next bytes of the response.
     *
     * @return what the client gets for them, possibly nothing yet
     * @throws IOException if the response is malformed or too large
     */
    public abstract ByteBuffer feed(ByteBuffer bytes) throws IOException;

    /**
     * Takes the end of the response's framing.
     *
     * @return what the client still gets
     * @throws IOException if the response is malformed or has no final event
     */
    public abstract ByteBuffer finish() throws IOException;

    /** Returns the number of bytes that were taken and wait for the rest of their event or body. */
    public abstract int bufferedBytes();

    /** Returns the heap that these bytes hold, at the most. */
    public abstract long heapBytes();

    /** Counts what a delta reports. */
    final void recordDelta(ResponseDelta delta) {
        if (delta instanceof ResponseDelta.Unrecognized) {
            unrecognizedEvents++;
        } else if (delta instanceof ResponseDelta.Finish finish) {
            totalTokens = finish.usage().inputTokens() + finish.usage().outputTokens();
        }
    }

    /** Returns the number of events of unknown names or types so far; they are not translated. */
    public final int unrecognizedEvents() {
        return unrecognizedEvents;
    }

    /** Returns the tokens of prompt and response, 0 until the backend has reported them. */
    public final long totalTokens() {
        return totalTokens;
    }

    static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
