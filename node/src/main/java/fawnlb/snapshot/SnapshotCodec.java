package fawnlb.snapshot;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointListCodec;
import fawnlb.snapshot.Snapshot.Entry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A snapshot's bytes: the magic {@code FWNL}, a version of two bytes, the body's length in four, the body, and the
 * CRC-32C (RFC 3720, appendix B.4) of all before it in four; numbers are big-endian. The body is CBOR (RFC 8949): a map
 * in which each backend is written as discovery's own form with the two times beside it.
 */
public final class SnapshotCodec {
    /** Raised when a reader of the former version would misread the file. */
    static final int FORMAT_VERSION = 1;
    /** A list of ten thousand backends takes about 2 MB; what claims more than this is not a list. */
    static final int MAX_BYTES = 16 << 20;

    private static final int MAGIC = 0x46574e4c;
    private static final int HEADER_BYTES = 10;
    private static final int CHECKSUM_BYTES = 4;
    private static final CBORFactory CBOR_FACTORY = new CBORFactory();

    private SnapshotCodec() {}

    /** Why bytes are no snapshot; the message is one line. */
    public static final class SnapshotFormatException extends IOException {
        private static final long serialVersionUID = 1;

        SnapshotFormatException(String message) {
            super(message);
        }
    }

    public static byte[] encode(Snapshot snapshot) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator generator = CBOR_FACTORY.createGenerator(body)) {
            generator.writeStartObject();
            generator.writeNumberField("saved_ms", snapshot.savedAtMillis());
            generator.writeNumberField("revision", snapshot.revision());
            generator.writeArrayFieldStart("targets");
            for (Entry entry : snapshot.entries()) {
                generator.writeStartObject();
                generator.writeNumberField("listed_ms", entry.lastListedAtMillis());
                generator.writeNumberField("answered_ms", entry.lastResponseAtMillis());
                generator.writeFieldName("member");
                EndpointListCodec.writeEndpoint(entry.endpoint(), generator);
                generator.writeEndObject();
            }
            generator.writeEndArray();
            generator.writeEndObject();
        }
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + body.size() + CHECKSUM_BYTES);
        file.putInt(MAGIC).putShort((short) FORMAT_VERSION).putInt(body.size()).put(body.toByteArray());
        file.putInt(checksum(file.array(), file.position()));
        return file.array();
    }

    /** Every single flipped bit, and every truncation, is found: magic, length and sum are all checked. */
    public static Snapshot decode(byte[] file) throws IOException {
        if (file.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw new SnapshotFormatException("truncated: " + file.length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        if (buffer.getInt() != MAGIC) {
            throw new SnapshotFormatException("not a snapshot");
        }
        int version = buffer.getShort() & 0xffff;
        int length = buffer.getInt();
        if (length != file.length - HEADER_BYTES - CHECKSUM_BYTES) {
            throw new SnapshotFormatException(
                    length > file.length - HEADER_BYTES - CHECKSUM_BYTES && length > 0
                            ? "truncated: " + file.length + " bytes"
                            : "altered: its length does not fit");
        }
        if (buffer.getInt(HEADER_BYTES + length) != checksum(file, HEADER_BYTES + length)) {
            throw new SnapshotFormatException("altered: its checksum does not fit");
        }
        if (version != FORMAT_VERSION) {
            throw new SnapshotFormatException("written in form " + version + ", this program reads " + FORMAT_VERSION);
        }
        try (JsonParser parser = CBOR_FACTORY.createParser(file, HEADER_BYTES, length)) {
            return decodeBody(parser);
        }
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static Snapshot decodeBody(JsonParser parser) throws IOException {
        long savedAtMillis = 0;
        long revision = 0;
        List<Entry> entries = new ArrayList<>();
        requireToken(parser.nextToken(), JsonToken.START_OBJECT);
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            switch (fieldName) {
                case "saved_ms" -> savedAtMillis = parser.getLongValue();
                case "revision" -> revision = parser.getLongValue();
                case "targets" -> {
                    requireToken(parser.currentToken(), JsonToken.START_ARRAY);
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        entries.add(decodeEntry(parser));
                    }
                }
                default -> parser.skipChildren();
            }
        }
        return new Snapshot(savedAtMillis, revision, List.copyOf(entries));
    }

    private static Entry decodeEntry(JsonParser parser) throws IOException {
        requireToken(parser.currentToken(), JsonToken.START_OBJECT);
        long lastListedAtMillis = 0;
        long lastResponseAtMillis = 0;
        DiscoveredEndpoint endpoint = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String fieldName = parser.currentName();
            parser.nextToken();
            switch (fieldName) {
                case "listed_ms" -> lastListedAtMillis = parser.getLongValue();
                case "answered_ms" -> lastResponseAtMillis = parser.getLongValue();
                case "member" -> endpoint = EndpointListCodec.readEndpoint(parser);
                default -> parser.skipChildren();
            }
        }
        if (endpoint == null) {
            throw new SnapshotFormatException("a target without an address");
        }
        return new Entry(endpoint, lastListedAtMillis, lastResponseAtMillis);
    }

    private static void requireToken(JsonToken actual, JsonToken expected) throws SnapshotFormatException {
        if (actual != expected) {
            throw new SnapshotFormatException("its body is no snapshot");
        }
    }
}
