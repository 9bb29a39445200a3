package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Encodes one request for a backend. */
final class CompletionRequestEncoder {
    private final CompletionRequest request;
    private final Dialect dialect;
    private final JsonGenerator generator;

    private CompletionRequestEncoder(CompletionRequest request, Dialect dialect, JsonGenerator generator) {
        this.request = request;
        this.dialect = dialect;
        this.generator = generator;
    }

    static byte[] encode(CompletionRequest request, Dialect dialect) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = JsonText.FACTORY.createGenerator(bytes)) {
            new CompletionRequestEncoder(request, dialect, generator).write();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private void write() throws IOException {
        generator.writeStartObject();
        generator.writeStringField("model", request.model());
        generator.writeNumberField("max_tokens", request.sampling().maxTokens());
        generator.writeBooleanField("stream", request.stream());
        writeMessages();
        writeDecimal("temperature", request.sampling().temperature());
        writeDecimal("top_p", request.sampling().topP());
        writeStopSequences();
        writeStreamOptions();
        writeUser();
        generator.writeEndObject();
    }

    /** The system prompt is a field of its own in the messages dialect, and the first message in the chat dialect. */
    private void writeMessages() throws IOException {
        boolean hasSystemPrompt = !request.system().isEmpty();
        if (hasSystemPrompt && dialect == Dialect.MESSAGES) {
            generator.writeStringField("system", request.system());
        }
        generator.writeArrayFieldStart("messages");
        if (hasSystemPrompt && dialect == Dialect.CHAT) {
            writeMessage("system", request.system());
        }
        for (CompletionRequest.Message message : request.messages()) {
            writeMessage(message.role(), message.text());
        }
        generator.writeEndArray();
    }

    private void writeMessage(String role, String text) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("role", role);
        generator.writeStringField("content", text);
        generator.writeEndObject();
    }

    private void writeDecimal(String name, String text) throws IOException {
        if (text != null) {
            generator.writeFieldName(name);
            generator.writeNumber(text);
        }
    }

    private void writeStopSequences() throws IOException {
        if (request.sampling().stopSequences().isEmpty()) {
            return;
        }
        generator.writeArrayFieldStart(dialect == Dialect.CHAT ? "stop" : "stop_sequences");
        for (String sequence : request.sampling().stopSequences()) {
            generator.writeString(sequence);
        }
        generator.writeEndArray();
    }

    /** Backends of the chat dialect report their usage only on demand, and the client's dialect needs it. */
    private void writeStreamOptions() throws IOException {
        if (dialect == Dialect.CHAT && request.stream()) {
            generator.writeObjectFieldStart("stream_options");
            generator.writeBooleanField("include_usage", true);
            generator.writeEndObject();
        }
    }

    private void writeUser() throws IOException {
        if (request.user() == null) {
            return;
        }
        if (dialect == Dialect.CHAT) {
            generator.writeStringField("user", request.user());
        } else {
            generator.writeObjectFieldStart("metadata");
            generator.writeStringField("user_id", request.user());
            generator.writeEndObject();
        }
    }
}
