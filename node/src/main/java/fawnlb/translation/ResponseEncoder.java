package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;

/** Encodes one response for a client. An encoder keeps state between deltas and serves one response only. */
abstract class ResponseEncoder {
    private String id = "";
    private String model = "";

    static ResponseEncoder forDialect(Dialect dialect) {
        return dialect == Dialect.CHAT ? new ChatResponseEncoder() : new MessagesResponseEncoder();
    }

    /** Returns the server-sent events for a delta, empty if the dialect has none. */
    final String encodeEvents(ResponseDelta delta) {
        if (delta instanceof ResponseDelta.Start start) {
            recordStart(start);
            return startEvent(start);
        } else if (delta instanceof ResponseDelta.Text text) {
            return textEvents(text);
        } else if (delta instanceof ResponseDelta.Finish finish) {
            return finishEvents(finish);
        } else if (delta instanceof ResponseDelta.End) {
            return finalEvent();
        } else if (delta instanceof ResponseDelta.Failure failure) {
            return errorEvent(failure);
        }
        return "";
    }

    /** Returns the body of a response that is not streamed. */
    final String encodeBody(List<ResponseDelta> deltas) {
        StringBuilder content = new StringBuilder();
        ResponseDelta.Finish lastFinish = new ResponseDelta.Finish(FinishReason.END_TURN, Usage.NONE);
        for (ResponseDelta delta : deltas) {
            if (delta instanceof ResponseDelta.Start start) {
                recordStart(start);
            } else if (delta instanceof ResponseDelta.Text text) {
                content.append(text.text());
            } else if (delta instanceof ResponseDelta.Finish finish) {
                lastFinish = finish;
            }
        }
        return body(content.toString(), lastFinish);
    }

    private void recordStart(ResponseDelta.Start start) {
        id = start.id();
        model = start.model();
    }

    /** The response's id, empty until its start was encoded. */
    final String id() {
        return id;
    }

    /** The name of the model that responds, empty until the response's start was encoded. */
    final String model() {
        return model;
    }

    abstract String startEvent(ResponseDelta.Start start);

    abstract String textEvents(ResponseDelta.Text text);

    abstract String finishEvents(ResponseDelta.Finish finish);

    abstract String finalEvent();

    abstract String errorEvent(ResponseDelta.Failure failure);

    abstract String body(String content, ResponseDelta.Finish finish);

    /** Writes an error, whose fields have the same names in both dialects. */
    static void writeError(JsonGenerator generator, ResponseDelta.Failure failure) throws IOException {
        generator.writeObjectFieldStart("error");
        generator.writeStringField("type", failure.type());
        generator.writeStringField("message", failure.message());
        generator.writeEndObject();
    }
}
