package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.channels.StreamSinkChannel;

/** Writes a streamed response to a client, one chunk at a time and as fast as the client reads. */
@EventLoopOnly
final class ResponseStreamWriter {
    /** The last bytes of a complete server-sent event: a blank line, with either line ending. */
    private static final int EVENT_END_LF = 0x0a0a;

    private static final int EVENT_END_CRLF = 0x0d0a0d0a;
    private static final int LAST_TWO_BYTES = 0xffff;
    private static final int PART_BYTES = 16 * 1024;
    private static final ThreadLocal<ByteBuffer> PART =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(PART_BYTES));

    private final StreamSinkChannel channel;
    private ByteBuffer chunk;
    /** The last four bytes of all chunks so far. */
    private int lastBytes;

    /**
     * Starts the response.
     *
     * @param onWritable runs when the client can take more bytes, after {@link #resumeWrites}
     */
    ResponseStreamWriter(HttpServerExchange exchange, int status, String contentType, Runnable onWritable) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        // Undertow sends no chunks on a connection that is to be closed, and a truncated stream would look complete.
        exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(c -> onWritable.run());
    }

    /** Sets the next chunk to write. The previous one must have been written. */
    void setChunk(ByteBuffer bytes) {
        for (int i = Math.max(bytes.position(), bytes.limit() - Integer.BYTES); i < bytes.limit(); i++) {
            lastBytes = lastBytes << Byte.SIZE | bytes.get(i) & 0xff;
        }
        chunk = bytes;
    }

    /**
     * Writes as much as the client takes now.
     *
     * @return how many bytes are left. The last bytes of a chunk stay in the channel until they are flushed, and count
     *     as one. 0 means that the chunk has been written and flushed.
     */
    int write() throws IOException {
        while (chunk != null && chunk.hasRemaining()) {
            if (writePart() == 0) {
                return chunk.remaining();
            }
        }
        if (!channel.flush()) {
            return 1;
        }
        channel.suspendWrites();
        return 0;
    }

    /**
     * Writes a part of the chunk from a buffer of the thread. Undertow refers to the last buffer that was written for
     * as long as the connection is open, which would keep whole chunks in memory that their clients have long read.
     */
    private int writePart() throws IOException {
        ByteBuffer part = PART.get().clear();
        int size = Math.min(part.capacity(), chunk.remaining());
        part.put(chunk.duplicate().limit(chunk.position() + size)).flip();
        int written = channel.write(part);
        chunk.position(chunk.position() + written);
        return written;
    }

    /** Asks to be called when the client can take more bytes. */
    void resumeWrites() {
        channel.resumeWrites();
    }

    /** Drops a chunk that is not written to its end, because the response ends here. */
    void discardChunk() {
        chunk = null;
    }

    /** Forgets the chunk, which must have been written. Returns whether there was one. */
    boolean finishChunk() {
        boolean hadChunk = chunk != null;
        chunk = null;
        return hadChunk;
    }

    /**
     * Writes an event behind the stream if the stream ends with a complete event, and only as much as the client takes
     * now. A slow client must not keep the connection open, and behind a part of an event the new one would be parsed
     * as the rest of it.
     */
    void writeFinalEvent(String event) {
        if (event.isEmpty() || chunk != null || !endsWithEvent()) {
            return;
        }
        try {
            channel.write(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
            channel.flush();
        } catch (IOException e) {
            // The client has disconnected at the same moment.
        }
    }

    private boolean endsWithEvent() {
        return (lastBytes & LAST_TWO_BYTES) == EVENT_END_LF || lastBytes == EVENT_END_CRLF;
    }
}
