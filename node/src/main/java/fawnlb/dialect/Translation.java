package fawnlb.dialect;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Turns one answer of a backend into the client's dialect as it comes; or only reads along, for its usage. */
public final class Translation {
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private final boolean stream;
    private final Dialect errorTo;
    private final int errorStatus;
    private final SseParser events = new SseParser();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final PieceReader reader;
    private final PieceWriter writer;
    private boolean done;
    private int skipped;
    private long input;
    private long output;

    public Translation(Dialect from, Dialect to, boolean stream) {
        this(from, to, stream, 0);
    }

    private Translation(Dialect from, Dialect to, boolean stream, int errorStatus) {
        this.reader = new PieceReader(from);
        this.writer = new PieceWriter(to);
        this.stream = stream;
        this.errorTo = to;
        this.errorStatus = errorStatus;
    }

    /** For a body that is an error; both dialects keep its message in the same place. */
    public static Translation ofError(Dialect to, int status) {
        return new Translation(to, to, false, status);
    }

    /** What the client gets for these bytes, perhaps nothing yet. */
    public ByteBuffer feed(ByteBuffer bytes) throws IOException {
        if (!stream) {
            if (whole.size() + bytes.remaining() > MAX_ANSWER_BYTES) {
                throw new IOException("answer longer than " + MAX_ANSWER_BYTES + " bytes");
            }
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            whole.writeBytes(part);
            return ByteBuffer.allocate(0);
        }
        StringBuilder out = new StringBuilder();
        for (SseParser.Event event : events.feed(bytes)) {
            for (Piece piece : reader.read(event)) {
                // What follows the last event is no part of the answer.
                if (!done) {
                    note(piece);
                    out.append(writer.write(piece));
                }
            }
        }
        return bytes(out.toString());
    }

    /** The rest at the answer's end; an answer without its last event is an error, however its framing ended. */
    public ByteBuffer finish() throws IOException {
        if (stream) {
            if (!done) {
                throw new IOException("the answer has no last event");
            }
            return ByteBuffer.allocate(0);
        }
        if (errorStatus != 0) {
            return bytes(ErrorBody.write(errorTo, errorStatus, errorMessage()));
        }
        List<Piece> pieces = reader.whole(whole.toByteArray());
        pieces.forEach(this::note);
        return bytes(writer.whole(pieces));
    }

    private String errorMessage() {
        try {
            return Fields.parse(whole.toByteArray()).text("error.message", "the target refused the request");
        } catch (IOException e) {
            return "the target refused the request";
        }
    }

    private void note(Piece piece) {
        done |= piece instanceof Piece.Done;
        skipped += piece instanceof Piece.Unknown ? 1 : 0;
        if (piece instanceof Piece.Stop stop) {
            input = stop.inputTokens();
            output = stop.outputTokens();
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Bytes that were read and are kept until more of them can be told. */
    public int buffered() {
        return whole.size() + events.buffered();
    }

    /** Unknown events met so far. */
    public int skipped() {
        return skipped;
    }

    /** Tokens of prompt and answer, once the backend has told them. */
    public long tokens() {
        return input + output;
    }
}
