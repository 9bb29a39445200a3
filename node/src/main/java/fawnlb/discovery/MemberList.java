package fawnlb.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.Balancer.Phase;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** A list in discovery's form: {@code {"revision":41,"complete":true,"members":[...]}}. */
public record MemberList(long revision, boolean complete, List<Member> members) {
    /** A name would have to be looked up, on the thread that carries all flows and where there is nobody to ask. */
    private static final Pattern NUMERIC = Pattern.compile(
            "(((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(?=[0-9])|(?=:))){4}|\\[[0-9a-fA-F:.]{2,45}\\]):[0-9]{1,5}");

    private static final int MAX_PORT = 0xffff;
    private static final int MAX_QUOTE_LENGTH = 60;

    private static final JsonFactory JSON = new JsonFactory();

    public static MemberList parse(String text) throws IOException {
        try (JsonParser in = JSON.createParser(text)) {
            in.nextToken();
            MemberList list = read(in);
            if (in.nextToken() != null) {
                throw new IOException("more than one list in a line");
            }
            return list;
        }
    }

    /** Reads the object that the parser stands at the start of; unknown fields are skipped. */
    public static MemberList read(JsonParser in) throws IOException {
        expect(in, JsonToken.START_OBJECT);
        long revision = -1;
        boolean complete = false;
        List<Member> members = new ArrayList<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "revision" -> revision = in.getLongValue();
                case "complete" -> complete = in.getBooleanValue();
                case "members" -> {
                    expect(in, JsonToken.START_ARRAY);
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        members.add(member(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        if (revision < 0) {
            throw new IOException("list without a revision");
        }
        return new MemberList(revision, complete, List.copyOf(members));
    }

    private static void expect(JsonParser in, JsonToken token) throws IOException {
        if (in.currentToken() != token) {
            throw new IOException("expected " + token + ", found " + in.currentToken());
        }
    }

    /** Writes a member in discovery's form. */
    public static void write(Member member, JsonGenerator out) throws IOException {
        out.writeStartObject();
        out.writeStringField("id", member.id());
        out.writeStringField("host_port", member.host() + ':' + member.port());
        out.writeStringField("locality", member.zone());
        out.writeStringField("flavor", member.kind());
        out.writeNumberField("cell", member.cell());
        out.writeStringField("phase", member.phase().name().toLowerCase(Locale.ROOT));
        out.writeNumberField("size", member.size());
        out.writeNumberField("up_since_ms", member.upSinceMillis());
        out.writeEndObject();
    }

    /** Reads the member that the parser stands at the start of. */
    public static Member member(JsonParser in) throws IOException {
        expect(in, JsonToken.START_OBJECT);
        String id = "";
        String address = "";
        String zone = "";
        String kind = "";
        int cell = 0;
        Phase phase = Phase.DRAINING;
        double size = 1;
        long since = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "id" -> id = in.getText();
                case "host_port" -> address = in.getText();
                case "locality" -> zone = in.getText();
                case "flavor" -> kind = in.getText();
                case "cell" -> cell = in.getIntValue();
                case "phase" -> phase = phase(in.getText());
                case "size" -> size = in.getDoubleValue();
                case "up_since_ms" -> since = in.getLongValue();
                default -> in.skipChildren();
            }
        }
        int colon = address.lastIndexOf(':');
        if (id.isEmpty() || colon <= 0 && phase != Phase.GONE) {
            throw new IOException("member '" + cut(id) + "' without an id or address");
        }
        boolean numeric = NUMERIC.matcher(address).matches();
        int port = numeric ? Integer.parseInt(address.substring(colon + 1)) : 0;
        if ((!numeric || port > MAX_PORT) && phase != Phase.GONE) {
            throw new IOException("member '" + cut(id) + "' has no numeric address and port in '" + cut(address) + "'");
        }
        return new Member(id, numeric ? address.substring(0, colon) : "", port, zone, kind, cell, phase, size, since);
    }

    /** A fault is one line in the log, whatever was sent. */
    private static String cut(String text) {
        return text.substring(0, Math.min(MAX_QUOTE_LENGTH, text.length()));
    }

    /** An unknown phase counts as draining: nothing new is sent to what is not known to be ready. */
    private static Phase phase(String word) {
        return switch (word) {
            case "ready" -> Phase.READY;
            case "gone" -> Phase.GONE;
            default -> Phase.DRAINING;
        };
    }
}
