package fawnlb.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.EndpointPhase;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** A list in discovery's form: {@code {"revision":41,"complete":true,"endpoints":[...]}}. */
public record EndpointList(long revision, boolean complete, List<DiscoveredEndpoint> endpoints) {
    /** A name would have to be looked up, on the thread that carries all flows and where there is nobody to ask. */
    private static final Pattern NUMERIC_ADDRESS_AND_PORT = Pattern.compile(
            "(((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(?=[0-9])|(?=:))){4}|\\[[0-9a-fA-F:.]{2,45}\\]):[0-9]{1,5}");

    private static final int MAX_PORT = 0xffff;
    private static final int MAX_QUOTED_CHARS = 60;

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    public static EndpointList parse(String text) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(text)) {
            parser.nextToken();
            EndpointList list = read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("more than one list in a line");
            }
            return list;
        }
    }

    /** Reads the object that the parser stands at the start of; unknown fields are skipped. */
    public static EndpointList read(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.START_OBJECT);
        long revision = -1;
        boolean complete = false;
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            switch (fieldName) {
                case "revision" -> revision = parser.getLongValue();
                case "complete" -> complete = parser.getBooleanValue();
                case "members" -> {
                    requireToken(parser, JsonToken.START_ARRAY);
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        endpoints.add(readEndpoint(parser));
                    }
                }
                default -> parser.skipChildren();
            }
        }
        if (revision < 0) {
            throw new IOException("list without a revision");
        }
        return new EndpointList(revision, complete, List.copyOf(endpoints));
    }

    private static void requireToken(JsonParser parser, JsonToken token) throws IOException {
        if (parser.currentToken() != token) {
            throw new IOException("expected " + token + ", found " + parser.currentToken());
        }
    }

    /** Writes a member in discovery's form. */
    public static void writeEndpoint(DiscoveredEndpoint endpoint, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("id", endpoint.id());
        generator.writeStringField("host_port", endpoint.host() + ':' + endpoint.port());
        generator.writeStringField("locality", endpoint.zone());
        generator.writeStringField("flavor", endpoint.kind());
        generator.writeNumberField("cell", endpoint.cell());
        generator.writeStringField("phase", endpoint.phase().name().toLowerCase(Locale.ROOT));
        generator.writeNumberField("size", endpoint.size());
        generator.writeNumberField("up_since_ms", endpoint.upSinceMillis());
        generator.writeEndObject();
    }

    /** Reads the member that the parser stands at the start of. */
    public static DiscoveredEndpoint readEndpoint(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.START_OBJECT);
        String id = "";
        String address = "";
        String zone = "";
        String kind = "";
        int cell = 0;
        EndpointPhase phase = EndpointPhase.DRAINING;
        double size = 1;
        long upSinceMillis = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            switch (fieldName) {
                case "id" -> id = parser.getText();
                case "host_port" -> address = parser.getText();
                case "locality" -> zone = parser.getText();
                case "flavor" -> kind = parser.getText();
                case "cell" -> cell = parser.getIntValue();
                case "phase" -> phase = parsePhase(parser.getText());
                case "size" -> size = parser.getDoubleValue();
                case "up_since_ms" -> upSinceMillis = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        int colon = address.lastIndexOf(':');
        if (id.isEmpty() || colon <= 0 && phase != EndpointPhase.GONE) {
            throw new IOException("member '" + truncate(id) + "' without an id or address");
        }
        boolean isNumeric = NUMERIC_ADDRESS_AND_PORT.matcher(address).matches();
        int port = isNumeric ? Integer.parseInt(address.substring(colon + 1)) : 0;
        if ((!isNumeric || port > MAX_PORT) && phase != EndpointPhase.GONE) {
            throw new IOException(
                    "member '" + truncate(id) + "' has no numeric address and port in '" + truncate(address) + "'");
        }
        return new DiscoveredEndpoint(
                id, isNumeric ? address.substring(0, colon) : "", port, zone, kind, cell, phase, size, upSinceMillis);
    }

    /** A fault is one line in the log, whatever was sent. */
    private static String truncate(String text) {
        return text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
    }

    /** An unknown phase counts as draining: nothing new is sent to what is not known to be ready. */
    private static EndpointPhase parsePhase(String word) {
        return switch (word) {
            case "ready" -> EndpointPhase.READY;
            case "gone" -> EndpointPhase.GONE;
            default -> EndpointPhase.DRAINING;
        };
    }
}
