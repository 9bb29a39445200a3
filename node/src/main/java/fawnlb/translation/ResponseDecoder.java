package fawnlb.translation;

import java.io.IOException;
import java.util.List;

/** Decodes one response of a backend. A decoder keeps state between events and serves one response only. */
interface ResponseDecoder {
    static ResponseDecoder forDialect(Dialect dialect) {
        return dialect == Dialect.CHAT ? new ChatResponseDecoder() : new MessagesResponseDecoder();
    }

    /**
     * Decodes the next event of a streamed response.
     *
     * @throws IOException if the event has a known name and can't be parsed
     */
    List<ResponseDelta> decodeEvent(SseParser.Event event) throws IOException;

    /**
     * Decodes the body of a response that is not streamed.
     *
     * @throws IOException if the body is not a response of this dialect
     */
    List<ResponseDelta> decodeBody(byte[] body) throws IOException;

    /** Reads an error, whose fields have the same names in both dialects. */
    static ResponseDelta failure(FlatJson json) {
        return new ResponseDelta.Failure(
                json.text("error.type", "api_error"), json.text("error.message", "the target failed"));
    }
}
