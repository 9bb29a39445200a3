package fawnlb.translation;

import fawnlb.http.InvalidRequestException;
import java.util.List;

/**
 * A request for a completion, independent of the dialect that it came in.
 *
 * @param system the system prompt, empty if there is none
 * @param user the client's name for its own user, null if it gave none
 */
public record CompletionRequest(
        String model, boolean stream, String system, List<Message> messages, Sampling sampling, String user) {
    /** An estimate that needs no tokenizer. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** A message of the conversation; the role is {@code user} or {@code assistant}. */
    public record Message(String role, String text) {}

    /**
     * How the model generates its response.
     *
     * @param maxTokens the largest number of tokens to generate
     * @param temperature a decimal number that is forwarded as text, null if missing
     * @param topP a decimal number that is forwarded as text, null if missing
     * @param stopSequences texts that end the response
     */
    public record Sampling(long maxTokens, String temperature, String topP, List<String> stopSequences) {}

    /**
     * Decodes the body of a client's request.
     *
     * @throws InvalidRequestException if the dialect does not allow the request, or if it can't be translated; the
     *     message tells the client which field is wrong
     */
    public static CompletionRequest decode(Dialect dialect, byte[] body) throws InvalidRequestException {
        return CompletionRequestDecoder.decode(dialect, body);
    }

    /** Returns the body of this request in a dialect. */
    public byte[] encode(Dialect dialect) {
        return CompletionRequestEncoder.encode(this, dialect);
    }

    /** Returns an estimate of the tokens of the whole prompt. */
    public long promptTokens() {
        return tokens(system.length()
                + messages.stream()
                        .mapToLong(message -> message.text().length())
                        .sum());
    }

    /** Returns an estimate of the tokens of the system prompt. */
    public long systemTokens() {
        return tokens(system.length());
    }

    private static long tokens(long characters) {
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }
}
