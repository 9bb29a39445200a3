package fawnlb.snapshot;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
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
    static final int VERSION = 1;
    /** A list of ten thousand backends takes about 2 MB; what claims more than this is not a list. */
    static final int MAX_BYTES = 16 << 20;

    private static final int MAGIC = 0x46574e4c;
    private static final int HEAD = 10;
    private static final int SUM = 4;
    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotCodec() {}

    /** Why bytes are no snapshot; the message is one line. */
    public static final class Damaged extends IOException {
        private static final long serialVersionUID = 1;

        Damaged(String message) {
            super(message);
        }
    }

    public static byte[] encode(Snapshot snapshot) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(body)) {
            out.writeStartObject();
            out.writeNumberField("saved_ms", snapshot.savedAt());
            out.writeNumberField("revision", snapshot.revision());
            out.writeArrayFieldStart("targets");
            for (Entry entry : snapshot.entries()) {
                out.writeStartObject();
                out.writeNumberField("listed_ms", entry.listedAt());
                out.writeNumberField("answered_ms", entry.answeredAt());
                out.writeFieldName("member");
                MemberList.write(entry.member(), out);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        ByteBuffer file = ByteBuffer.allocate(HEAD + body.size() + SUM);
        file.putInt(MAGIC).putShort((short) VERSION).putInt(body.size()).put(body.toByteArray());
        file.putInt(sum(file.array(), file.position()));
        return file.array();
    }

    /** Every single flipped bit, and every truncation, is found: magic, length and sum are all checked. */
    public static Snapshot decode(byte[] file) throws IOException {
        if (file.length < HEAD + SUM) {
            throw new Damaged("truncated: " + file.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(file);
        if (in.getInt() != MAGIC) {
            throw new Damaged("not a snapshot");
        }
        int version = in.getShort() & 0xffff;
        int length = in.getInt();
        if (length != file.length - HEAD - SUM) {
            throw new Damaged(
                    length > file.length - HEAD - SUM && length > 0
                            ? "truncated: " + file.length + " bytes"
                            : "altered: its length does not fit");
        }
        if (in.getInt(HEAD + length) != sum(file, HEAD + length)) {
            throw new Damaged("altered: its checksum does not fit");
        }
        if (version != VERSION) {
            throw new Damaged("written in form " + version + ", this program reads " + VERSION);
        }
        try (JsonParser body = CBOR.createParser(file, HEAD, length)) {
            return body(body);
        }
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    private static Snapshot body(JsonParser in) throws IOException {
        long saved = 0;
        long revision = 0;
        List<Entry> entries = new ArrayList<>();
        expect(in.nextToken(), JsonToken.START_OBJECT);
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "saved_ms" -> saved = in.getLongValue();
                case "revision" -> revision = in.getLongValue();
                case "targets" -> {
                    expect(in.currentToken(), JsonToken.START_ARRAY);
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        entries.add(entry(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        return new Snapshot(saved, revision, List.copyOf(entries));
    }

    private static Entry entry(JsonParser in) throws IOException {
        expect(in.currentToken(), JsonToken.START_OBJECT);
        long listed = 0;
        long answered = 0;
        Member member = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "listed_ms" -> listed = in.getLongValue();
                case "answered_ms" -> answered = in.getLongValue();
                case "member" -> member = MemberList.member(in);
                default -> in.skipChildren();
            }
        }
        if (member == null) {
            throw new Damaged("a target without an address");
        }
        return new Entry(member, listed, answered);
    }

    private static void expect(JsonToken found, JsonToken wanted) throws Damaged {
        if (found != wanted) {
            throw new Damaged("its body is no snapshot");
        }
    }
}
