package fawnlb.lab.load;

import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients that ask for long answers and don't read them as they come. Their receive buffers are small, so that what
 * they leave unread is soon the node's to hold. They run on a thread of their own.
 */
public final class SlowReaderClients implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 2048;
    private static final long READ_INTERVAL_MILLIS = 1000;

    /** How a client reads: a byte in each second, nothing at all, nothing for some seconds at a time, or it leaves. */
    public enum ReadPattern {
        ONE_BYTE_PER_SECOND,
        STOPPED,
        INTERMITTENT,
        DISCONNECTING
    }

    private final List<SlowReader> readers = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "readers");
    private volatile boolean closed;

    private static final class SlowReader {
        final ReadPattern pattern;
        final SocketChannel channel;
        boolean ended;

        SlowReader(ReadPattern pattern, SocketChannel channel) {
            this.pattern = pattern;
            this.channel = channel;
        }
    }

    /** Asks for one answer of {@code outputTokens} tokens, each event filled up by so many bytes. */
    public void sendRequest(
            ReadPattern pattern,
            InetSocketAddress address,
            String nodeName,
            RuleChecker rules,
            String requestId,
            int outputTokens,
            int paddingBytes)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        channel.connect(address);
        String body = "{\"model\":\"advisor\",\"stream\":true,\"messages\":[]}";
        rules.onRequestSent(requestId, nodeName);
        ByteBuffer request = ByteBuffer.wrap(("POST /v1/chat/completions?out=" + Integer.toHexString(outputTokens)
                        + "&pad="
                        + Integer.toHexString(paddingBytes) + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + requestId
                        + "\r\nX-Class: advisor-chat\r\nX-Key: "
                        + requestId + "\r\nX-Deadline-Ms: 7000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        while (request.hasRemaining()) {
            channel.write(request);
        }
        channel.configureBlocking(false);
        readers.add(new SlowReader(pattern, channel));
    }

    /** Begins to read, each in its manner. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (int round = 0; !closed; round++) {
                for (SlowReader reader : readers) {
                    read(reader, round);
                }
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void read(SlowReader reader, int round) {
        int maxBytes = switch (reader.pattern) {
            case ONE_BYTE_PER_SECOND -> 1;
            case STOPPED -> 0;
            case INTERMITTENT -> round % 6 < 3 ? 0 : RECEIVE_BUFFER_BYTES * 8;
            case DISCONNECTING -> round < 3 ? 1 : -1;
        };
        try {
            if (maxBytes < 0) {
                reader.channel.close();
                reader.ended = true;
            } else if (maxBytes > 0 && !reader.ended) {
                reader.ended = reader.channel.read(ByteBuffer.allocate(maxBytes)) < 0;
            }
        } catch (IOException e) {
            reader.ended = true;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        thread.interrupt();
        for (SlowReader reader : readers) {
            reader.channel.close();
        }
    }
}
