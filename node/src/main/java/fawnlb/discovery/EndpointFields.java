package fawnlb.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;

/** The fields of one entry of an endpoint list; what is absent has its default here. */
final class EndpointFields {
    /** A host name would have to be looked up, on the thread that carries all requests. */
    private static final Pattern NUMERIC_ADDRESS_AND_PORT = Pattern.compile(
            "(((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(?=[0-9])|(?=:))){4}|\\[[0-9a-fA-F:.]{2,45}\\]):[0-9]{1,5}");

    private static final int MAX_PORT = 0xffff;

    private String id = "";
    private String address = "";
    private String zone = "";
    private String kind = "";
    private int cell = Endpoint.UNKNOWN;
    private EndpointPhase phase = EndpointPhase.DRAINING;
    private double size = 1;
    private long upSinceMillis;
    /** The first field whose value is of the wrong type or out of range; null if there is none. */
    private String invalidField;

    private EndpointFields() {}

    /**
     * Reads the object at whose first token the parser stands, to its end.
     *
     * @throws IOException if the parser can't read on
     */
    static EndpointFields read(JsonParser parser) throws IOException {
        EndpointFields fields = new EndpointFields();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            fields.readField(fieldName, parser);
        }
        return fields;
    }

    private void readField(String fieldName, JsonParser parser) throws IOException {
        switch (fieldName) {
            case "id", "host_port", "locality", "flavor", "phase" -> readText(fieldName, parser);
            case "cell", "size", "up_since_ms" -> readNumber(fieldName, parser);
            default -> parser.skipChildren();
        }
    }

    private void readText(String fieldName, JsonParser parser) throws IOException {
        if (!parser.currentToken().isScalarValue()) {
            markInvalid(fieldName);
            parser.skipChildren();
            return;
        }
        String text = parser.getText();
        switch (fieldName) {
            case "id" -> id = text;
            case "host_port" -> address = text;
            case "locality" -> zone = text;
            case "flavor" -> kind = text;
            default -> phase = parsePhase(text);
        }
    }

    private void readNumber(String fieldName, JsonParser parser) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            markInvalid(fieldName);
            parser.skipChildren();
            return;
        }
        try {
            switch (fieldName) {
                case "cell" -> cell = parser.getIntValue();
                case "size" -> size = parser.getDoubleValue();
                default -> upSinceMillis = parser.getLongValue();
            }
        } catch (InputCoercionException e) {
            markInvalid(fieldName);
        }
    }

    private void markInvalid(String fieldName) {
        invalidField = invalidField == null ? fieldName : invalidField;
        if (fieldName.equals("phase")) {
            phase = null;
        }
    }

    /** An unknown phase counts as draining: nothing new is sent to an endpoint that is not known to be ready. */
    private static EndpointPhase parsePhase(String phase) {
        return switch (phase) {
            case "ready" -> EndpointPhase.READY;
            case "gone" -> EndpointPhase.GONE;
            default -> EndpointPhase.DRAINING;
        };
    }

    /** What can't be read of the entry; empty if it is valid. An endpoint that is gone needs no address. */
    Optional<InvalidEntry> invalidEntry() {
        if (invalidField == null && id.isEmpty()) {
            invalidField = "id";
        }
        if (invalidField == null && phase != EndpointPhase.GONE && !hasNumericAddress()) {
            invalidField = "host_port";
        }
        return invalidField == null ? Optional.empty() : Optional.of(new InvalidEntry(id, invalidField, phase));
    }

    private boolean hasNumericAddress() {
        return NUMERIC_ADDRESS_AND_PORT.matcher(address).matches() && port() <= MAX_PORT;
    }

    private int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** The endpoint of a valid entry. */
    DiscoveredEndpoint toEndpoint() {
        boolean isNumeric = hasNumericAddress();
        String host = isNumeric ? address.substring(0, address.lastIndexOf(':')) : "";
        int port = isNumeric ? port() : 0;
        return new DiscoveredEndpoint(EndpointId.of(id), host, port, zone, kind, cell, phase, size, upSinceMillis);
    }
}
