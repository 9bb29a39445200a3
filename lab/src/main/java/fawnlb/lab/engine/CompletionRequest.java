package fawnlb.lab.engine;

import fawnlb.lab.net.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A completion request as the lab's clients describe it in the query. Only the client knows how long the answer is to
 * be. Where the query is lost because the node translates the request to another API format, the answer has the largest
 * length that the body permits.
 *
 * @param prefix cache key of the prompt prefix that other sessions share; 0 for none
 * @param paddingBytes bytes by which each event is enlarged
 * @param timeoutNanos time left for the first event according to the node; 0 if it did not say
 */
record CompletionRequest(
        String requestId,
        long session,
        long prefix,
        int promptTokens,
        int prefixTokens,
        int outputTokens,
        int paddingBytes,
        boolean streaming,
        long timeoutNanos) {
    private static final Pattern MAX_TOKENS_FIELD = Pattern.compile("\"max_tokens\"\\s*:\\s*(\\d{1,6})");
    private static final Pattern STREAM_FIELD = Pattern.compile("\"stream\"\\s*:\\s*true");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int HEXADECIMAL = 16;

    static CompletionRequest parse(HttpRequest request) {
        Map<String, Long> parameters = parseQuery(request.path());
        String body = new String(request.body(), StandardCharsets.UTF_8);
        Matcher maxTokens = MAX_TOKENS_FIELD.matcher(body);
        if (!parameters.containsKey("out") && maxTokens.find()) {
            parameters.put("out", Long.parseLong(maxTokens.group(1)));
        }
        return new CompletionRequest(
                request.header("x-request-id"),
                parameters.getOrDefault("session", 0L),
                parameters.getOrDefault("prefix", 0L),
                parameters.getOrDefault("prompt", 1L).intValue(),
                parameters.getOrDefault("shared", 0L).intValue(),
                parameters.getOrDefault("out", 1L).intValue(),
                parameters.getOrDefault("pad", 0L).intValue(),
                STREAM_FIELD.matcher(body).find(),
                parseTimeoutNanos(request.header("x-deadline-ms")));
    }

    private static Map<String, Long> parseQuery(String path) {
        Map<String, Long> parameters = new HashMap<>();
        for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
            int separator = parameter.indexOf('=');
            if (separator > 0) {
                String value = parameter.substring(separator + 1);
                parameters.put(parameter.substring(0, separator), Long.parseUnsignedLong(value, HEXADECIMAL));
            }
        }
        return parameters;
    }

    private static long parseTimeoutNanos(String deadlineMillis) {
        return deadlineMillis.isEmpty() ? 0 : Long.parseLong(deadlineMillis) * NANOS_PER_MILLI;
    }

    /** Creates the sequence that an engine has to run for this request. */
    Sequence toSequence(TokenListener listener) {
        return new Sequence(session, prefix, promptTokens, prefixTokens, outputTokens, listener);
    }
}
