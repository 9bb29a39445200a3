package fawnlb.translation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.IOException;
import java.io.StringWriter;

/** Writes JSON objects to memory. */
final class JsonText {
    /** Creates all parsers and generators of this package; thread-safe. */
    static final JsonFactory FACTORY = JsonFactory.builder()
            // As two escapes, a character beyond the Basic Multilingual Plane would be three times as large.
            .enable(JsonWriteFeature.COMBINE_UNICODE_SURROGATES_IN_UTF8)
            .build();

    private JsonText() {}

    /** Writes the fields of one JSON object. */
    @FunctionalInterface
    interface Fields {
        void write(JsonGenerator generator) throws IOException;
    }

    /** Returns an object with these fields as text. */
    static String object(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            generator.writeStartObject();
            fields.write(generator);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return text.toString();
    }
}
