package fawnlb.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.EndpointListFormatException.Reason;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads and writes endpoint lists in discovery's form, {@code {"revision":41,"complete":true,"members":[...]}}. Fields
 * that it does not know are skipped. An endpoint has the same form in a snapshot, as CBOR.
 */
public final class EndpointListCodec {
    /** A host name would have to be looked up, on the thread that carries all requests. */
    private static final Pattern NUMERIC_ADDRESS_AND_PORT = Pattern.compile(
            "(((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(?=[0-9])|(?=:))){4}|\\[[0-9a-fA-F:.]{2,45}\\]):[0-9]{1,5}");

    private static final int MAX_PORT = 0xffff;
    private static final int MAX_QUOTED_CHARS = 60;

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private EndpointListCodec() {}

    /**
     * Reads a text that is one list.
     *
     * @throws EndpointListFormatException if it is anything else
     */
    public static EndpointList parse(String text) throws EndpointListFormatException {
        try (JsonParser parser = JSON_FACTORY.createParser(text)) {
            parser.nextToken();
            EndpointList list = read(parser);
            if (parser.nextToken() != null) {
                throw new EndpointListFormatException(Reason.INCOMPLETE, "more than one list in a line");
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
     * @throws EndpointListFormatException if it is no list
     * @throws IOException if the parser can't read on
     */
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
                case "members" -> readEndpoints(parser, endpoints);
                default -> parser.skipChildren();
            }
        }
        if (revision < 0) {
            throw new EndpointListFormatException(Reason.INCOMPLETE, "list without a revision");
        }
        return new EndpointList(revision, complete, List.copyOf(endpoints));
    }

    private static void readEndpoints(JsonParser parser, List<DiscoveredEndpoint> endpoints) throws IOException {
        requireToken(parser, JsonToken.START_ARRAY);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            endpoints.add(readEndpoint(parser));
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
     * @throws EndpointListFormatException if it has no identifier, or no numeric address and port
     * @throws IOException if the parser can't read on
     */
    public static DiscoveredEndpoint readEndpoint(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.START_OBJECT);
        EndpointFields fields = new EndpointFields();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            fields.read(fieldName, parser);
        }
        return fields.toEndpoint();
    }

    /** The fields of one endpoint as far as they were read; what is absent has its default here. */
    private static final class EndpointFields {
        private String id = "";
        private String address = "";
        private String zone = "";
        private String kind = "";
        private int cell = Endpoint.UNKNOWN;
        private EndpointPhase phase = EndpointPhase.DRAINING;
        private double size = 1;
        private long upSinceMillis;

        void read(String fieldName, JsonParser parser) throws IOException {
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

        /** An endpoint that is gone needs no address. */
        DiscoveredEndpoint toEndpoint() throws EndpointListFormatException {
            int colon = address.lastIndexOf(':');
            if (id.isEmpty() || colon <= 0 && phase != EndpointPhase.GONE) {
                throw invalid("without an id or address");
            }
            boolean isNumeric = NUMERIC_ADDRESS_AND_PORT.matcher(address).matches();
            int port = isNumeric ? Integer.parseInt(address.substring(colon + 1)) : 0;
            if ((!isNumeric || port > MAX_PORT) && phase != EndpointPhase.GONE) {
                throw invalid("has no numeric address and port in '" + truncate(address) + "'");
            }
            String host = isNumeric ? address.substring(0, colon) : "";
            return new DiscoveredEndpoint(EndpointId.of(id), host, port, zone, kind, cell, phase, size, upSinceMillis);
        }

        private EndpointListFormatException invalid(String fault) {
            return new EndpointListFormatException(Reason.INVALID_ENDPOINT, "member '" + truncate(id) + "' " + fault);
        }
    }

    /** A fault is one line in the log, whatever was sent. */
    private static String truncate(String text) {
        return text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
    }

    /** An unknown phase counts as draining: nothing new is sent to an endpoint that is not known to be ready. */
    private static EndpointPhase parsePhase(String phase) {
        return switch (phase) {
            case "ready" -> EndpointPhase.READY;
            case "gone" -> EndpointPhase.GONE;
            default -> EndpointPhase.DRAINING;
        };
    }
}
