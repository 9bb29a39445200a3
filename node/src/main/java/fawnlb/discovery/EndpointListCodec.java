package fawnlb.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.discovery.EndpointListFormatException.Reason;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Reads and writes endpoint lists in discovery's form, {@code {"revision":41,"complete":true,"members":[...]}}. Fields
 * that it does not know are skipped. An endpoint has the same form in a snapshot, as CBOR.
 */
public final class EndpointListCodec {
    private static final int MAX_QUOTED_CHARS = 60;

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private EndpointListCodec() {}

    /**
     * Reads a text that is one list. Entries that can't be read are named beside the others.
     *
     * @throws EndpointListFormatException if it is anything else, or if none of its entries can be read
     */
    public static EndpointList parse(String text) throws EndpointListFormatException {
        try (JsonParser parser = JSON_FACTORY.createParser(text)) {
            parser.nextToken();
            EndpointList list = readList(parser);
            if (parser.nextToken() != null) {
                throw new EndpointListFormatException(Reason.INCOMPLETE, "more than one list in a line");
            }
            if (list.endpoints().isEmpty()) {
                requireValidEntries(list);
            }
            return list;
        } catch (EndpointListFormatException e) {
            throw e;
        } catch (IOException e) {
            throw new EndpointListFormatException(Reason.MALFORMED, e.getMessage(), e);
        }
    }

    /**
     * Reads the endpoint list at whose first token the parser stands.
     *
     * @throws EndpointListFormatException if it is no list, or if one of its entries can't be read
     * @throws IOException if the parser can't read on
     */
    public static EndpointList read(JsonParser parser) throws IOException {
        EndpointList list = readList(parser);
        requireValidEntries(list);
        return list;
    }

    private static void requireValidEntries(EndpointList list) throws EndpointListFormatException {
        if (!list.invalidEntries().isEmpty()) {
            throw invalidEntry(list.invalidEntries().get(0));
        }
    }

    private static EndpointListFormatException invalidEntry(InvalidEntry entry) {
        return new EndpointListFormatException(
                Reason.INVALID_ENDPOINT, "member '" + truncate(entry.id()) + "' has no valid " + entry.field());
    }

    private static EndpointList readList(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.START_OBJECT);
        long revision = -1;
        boolean complete = false;
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        List<InvalidEntry> invalidEntries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            switch (fieldName) {
                case "revision" -> revision = parser.getLongValue();
                case "complete" -> complete = parser.getBooleanValue();
                case "members" -> readEntries(parser, endpoints, invalidEntries);
                default -> parser.skipChildren();
            }
        }
        if (revision < 0) {
            throw new EndpointListFormatException(Reason.INCOMPLETE, "list without a revision");
        }
        return new EndpointList(revision, complete, List.copyOf(endpoints), List.copyOf(invalidEntries));
    }

    private static void readEntries(
            JsonParser parser, List<DiscoveredEndpoint> endpoints, List<InvalidEntry> invalidEntries)
            throws IOException {
        requireToken(parser, JsonToken.START_ARRAY);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                invalidEntries.add(new InvalidEntry("", "members", null));
                parser.skipChildren();
                continue;
            }
            EndpointFields fields = EndpointFields.read(parser);
            fields.invalidEntry().ifPresentOrElse(invalidEntries::add, () -> endpoints.add(fields.toEndpoint()));
        }
    }

    private static void requireToken(JsonParser parser, JsonToken token) throws EndpointListFormatException {
        if (parser.currentToken() != token) {
            throw new EndpointListFormatException(
                    Reason.MALFORMED, "expected " + token + ", found " + parser.currentToken());
        }
    }

    /** Writes an endpoint as one object. */
    public static void writeEndpoint(DiscoveredEndpoint endpoint, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("id", endpoint.id().name());
        generator.writeStringField("host_port", endpoint.hostAndPort());
        generator.writeStringField("locality", endpoint.zone());
        generator.writeStringField("flavor", endpoint.kind());
        generator.writeNumberField("cell", endpoint.cell());
        generator.writeStringField("phase", endpoint.phase().name().toLowerCase(Locale.ROOT));
        generator.writeNumberField("size", endpoint.size());
        generator.writeNumberField("up_since_ms", endpoint.upSinceMillis());
        generator.writeEndObject();
    }

    /**
     * Reads the endpoint at whose first token the parser stands.
     *
     * @throws EndpointListFormatException if one of its fields can't be read
     * @throws IOException if the parser can't read on
     */
    public static DiscoveredEndpoint readEndpoint(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.START_OBJECT);
        EndpointFields fields = EndpointFields.read(parser);
        Optional<InvalidEntry> invalid = fields.invalidEntry();
        if (invalid.isPresent()) {
            throw invalidEntry(invalid.get());
        }
        return fields.toEndpoint();
    }

    /** A fault is one line in the log, whatever was sent. */
    private static String truncate(String text) {
        return text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
    }
}
