package fawnlb.translation;

/** Error responses of both dialects. */
public final class ErrorBody {
    private ErrorBody() {}

    /**
     * Returns the type that the messages dialect gives to errors of an HTTP status; the chat dialect gets the same one.
     */
    private static String errorType(int status) {
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

    /** Returns the server-sent event that ends a stream with an error. */
    public static String streamEvent(Dialect dialect, int status, String message) {
        String eventName = dialect == Dialect.MESSAGES ? "event: error\n" : "";
        return eventName + "data: " + json(dialect, status, message) + "\n\n";
    }

    /** Returns the body of an error response. */
    public static String json(Dialect dialect, int status, String message) {
        return JsonText.object(generator -> {
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
        });
    }
}
