package fawnlb.snapshot;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointListCodec;
import fawnlb.snapshot.Snapshot.Entry;
import fawnlb.snapshot.SnapshotFormatException.Reason;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The bytes of a snapshot: the magic number {@code FWNL}, a version of two bytes, the body's length in four, the body,
 * and the CRC-32C (RFC 3720, appendix B.4) of all before it in four. Numbers are big-endian. The body is CBOR (RFC
 * 8949): a map in which each endpoint has discovery's form, with the times of its last contacts beside it. Fields that
 * the reader does not know are skipped.
 */
public final class SnapshotCodec {
    /** To be raised when a reader of the former version would misread the file. */
    static final int FORMAT_VERSION = 1;
    /** A list of ten thousand endpoints takes about 2 MB; a file that is larger than this holds something else. */
    static final int MAX_BYTES = 16 << 20;

    private static final int MAGIC = 0x46574e4c;
    private static final int HEADER_BYTES = 10;
    private static final int CHECKSUM_BYTES = 4;
    private static final CBORFactory CBOR_FACTORY = new CBORFactory();

    private SnapshotCodec() {}

    /** The bytes of a snapshot, header and checksum included. */
    public static byte[] encode(Snapshot snapshot) throws IOException {
        byte[] body = encodeBody(snapshot);
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + body.length + CHECKSUM_BYTES);
        file.putInt(MAGIC).putShort((short) FORMAT_VERSION).putInt(body.length).put(body);
        file.putInt(checksum(file.array(), file.position()));
        return file.array();
    }

    private static byte[] encodeBody(Snapshot snapshot) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator generator = CBOR_FACTORY.createGenerator(body)) {
            generator.writeStartObject();
            generator.writeNumberField("saved_ms", snapshot.savedAtMillis());
            generator.writeNumberField("revision", snapshot.revision());
            generator.writeArrayFieldStart("targets");
            for (Entry entry : snapshot.entries()) {
                writeEntry(entry, generator);
            }
            generator.writeEndArray();
            generator.writeEndObject();
        }
        return body.toByteArray();
    }

    private static void writeEntry(Entry entry, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        generator.writeNumberField("listed_ms", entry.lastListedAtMillis());
        generator.writeNumberField("answered_ms", entry.lastResponseAtMillis());
        generator.writeFieldName("member");
        EndpointListCodec.writeEndpoint(entry.endpoint(), generator);
        generator.writeEndObject();
    }

    /**
     * Reads the bytes of a file. Magic number, length and checksum are all checked, so that each single flipped bit and
     * each truncation is found.
     *
     * @throws SnapshotFormatException if they are no snapshot of this version
     */
    public static Snapshot decode(byte[] file) throws SnapshotFormatException {
        int bodyBytes = checkedBodyBytes(file);
        try (JsonParser parser = CBOR_FACTORY.createParser(file, HEADER_BYTES, bodyBytes)) {
            return readBody(parser);
        } catch (SnapshotFormatException e) {
            throw e;
        } catch (IOException e) {
            throw new SnapshotFormatException(Reason.MALFORMED_BODY, e.getMessage(), e);
        }
    }

    /** Checks all but the body, and returns the body's length. */
    private static int checkedBodyBytes(byte[] file) throws SnapshotFormatException {
        int presentBytes = file.length - HEADER_BYTES - CHECKSUM_BYTES;
        if (presentBytes < 0) {
            throw truncated(file);
        }
        ByteBuffer header = ByteBuffer.wrap(file);
        if (header.getInt() != MAGIC) {
            throw new SnapshotFormatException(Reason.NOT_A_SNAPSHOT, "not a snapshot");
        }
        int version = header.getShort() & 0xffff;
        int bodyBytes = header.getInt();
        if (bodyBytes > presentBytes) {
            throw truncated(file);
        }
        if (bodyBytes != presentBytes) {
            throw new SnapshotFormatException(Reason.CORRUPTED, "altered: its length does not fit");
        }
        if (header.getInt(HEADER_BYTES + bodyBytes) != checksum(file, HEADER_BYTES + bodyBytes)) {
            throw new SnapshotFormatException(Reason.CORRUPTED, "altered: its checksum does not fit");
        }
        if (version != FORMAT_VERSION) {
            throw new SnapshotFormatException(
                    Reason.UNSUPPORTED_VERSION,
                    "written in form " + version + ", this program reads " + FORMAT_VERSION);
        }
        return bodyBytes;
    }

    private static SnapshotFormatException truncated(byte[] file) {
        return new SnapshotFormatException(Reason.TRUNCATED, "truncated: " + file.length + " bytes");
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static Snapshot readBody(JsonParser parser) throws IOException {
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
                case "targets" -> readEntries(parser, entries);
                default -> parser.skipChildren();
            }
        }
        return new Snapshot(savedAtMillis, revision, List.copyOf(entries));
    }

    private static void readEntries(JsonParser parser, List<Entry> entries) throws IOException {
        requireToken(parser.currentToken(), JsonToken.START_ARRAY);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            entries.add(readEntry(parser));
        }
    }

    private static Entry readEntry(JsonParser parser) throws IOException {
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
            throw new SnapshotFormatException(Reason.MALFORMED_BODY, "a target without an address");
        }
        return new Entry(endpoint, lastListedAtMillis, lastResponseAtMillis);
    }

    private static void requireToken(JsonToken actual, JsonToken expected) throws SnapshotFormatException {
        if (actual != expected) {
            throw new SnapshotFormatException(Reason.MALFORMED_BODY, "its body is no snapshot");
        }
    }
}
