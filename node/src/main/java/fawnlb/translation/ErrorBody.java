package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;

/** The body of an answer that is an error, in either dialect. */
public final class ErrorBody {
    private ErrorBody() {}

    /** The error's type by HTTP status, in the messages dialect's words. */
    public static String errorType(int status) {
        return switch (status) {
            case 400, 405 -> "invalid_request_error";
            case 401 -> "authentication_error";
            case 403 -> "permission_error";
            case 404 -> "not_found_error";
            case 413 -> "request_too_large";
            case 429 -> "rate_limit_error";
            case 503 -> "overloaded_error";
            case 504 -> "timeout_error";
            default -> "api_error";
        };
    }

    /** The event that ends a stream with an error, as each dialect's clients know it. */
    public static String streamEvent(Dialect dialect, int status, String message) {
        return (dialect == Dialect.MESSAGES ? "event: error\n" : "") + "data: " + json(dialect, status, message)
                + "\n\n";
    }

    public static String json(Dialect dialect, int status, String message) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FlatJson.JSON_FACTORY.createGenerator(text)) {
            generator.writeStartObject();
            if (dialect == Dialect.MESSAGES) {
                generator.writeStringField("type", "error");
            }
            generator.writeObjectFieldStart("error");
            generator.writeStringField("type", errorType(status));
            generator.writeStringField("message", message);
            if (dialect == Dialect.CHAT) {
                generator.writeNumberField("code", status);
            }
            generator.writeEndObject();
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return text.toString();
    }
}
