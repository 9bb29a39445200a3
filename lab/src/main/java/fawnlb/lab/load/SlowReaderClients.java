package fawnlb.lab.load;

import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients of one node that request long answers and read them slowly or not at all. Their receive buffers are small, so
 * that the node soon has to buffer what they leave unread. They read on a thread of their own.
 */
public final class SlowReaderClients implements AutoCloseable {
    /** Smaller than one event of the requested answers. */
    private static final int RECEIVE_BUFFER_BYTES = 2048;

    private static final long READ_INTERVAL_MILLIS = 1000;
    /** An intermittent client reads nothing in the first half of each period. */
    private static final int INTERMITTENT_PERIOD_ROUNDS = 6;

    private static final int INTERMITTENT_READ_BYTES = 8 * RECEIVE_BUFFER_BYTES;
    private static final int ROUNDS_BEFORE_DISCONNECT = 3;

    /** How a client reads. */
    public enum ReadPattern {
        /** One byte a second. */
        ONE_BYTE_PER_SECOND,
        /** Nothing. */
        STOPPED,
        /** Nothing for three seconds and much for three seconds, in turn. */
        INTERMITTENT,
        /** One byte a second for three seconds, and then it disconnects. */
        DISCONNECTING
    }

    private final String nodeName;
    private final InetSocketAddress address;
    private final RuleChecker rules;
    private final List<SlowReader> readers = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "slow-readers");
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

    /** Creates a group without clients; {@code nodeName} is the name by which the rules know the node. */
    public SlowReaderClients(String nodeName, InetSocketAddress address, RuleChecker rules) {
        this.nodeName = nodeName;
        this.address = address;
        this.rules = rules;
    }

    /**
     * Adds a client and sends its request. To be called before {@link #start}.
     *
     * @param outputTokens length of the requested answer
     * @param paddingBytes bytes by which each event of the answer is enlarged
     */
    public void sendRequest(ReadPattern pattern, String requestId, int outputTokens, int paddingBytes)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        channel.connect(address);
        rules.onRequestSent(0, requestId, nodeName);
        String path = "/v1/chat/completions?out=" + Integer.toHexString(outputTokens) + "&pad="
                + Integer.toHexString(paddingBytes);
        ByteBuffer request = ByteBuffer.wrap(PostRequest.to(path)
                .header("X-Request-Id", requestId)
                .header("X-Class", "advisor-chat")
                .header("X-Key", requestId)
                .header("X-Deadline-Ms", 7000)
                .toBytes("{\"model\":\"advisor\",\"stream\":true,\"messages\":[]}"));
        while (request.hasRemaining()) {
            channel.write(request);
        }
        channel.configureBlocking(false);
        readers.add(new SlowReader(pattern, channel));
    }

    /** Starts to read, each client by its pattern. */
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
        try {
            if (reader.pattern == ReadPattern.DISCONNECTING && round >= ROUNDS_BEFORE_DISCONNECT) {
                reader.channel.close();
                reader.ended = true;
                return;
            }
            int maxBytes = maxBytes(reader.pattern, round);
            if (maxBytes > 0 && !reader.ended) {
                reader.ended = reader.channel.read(ByteBuffer.allocate(maxBytes)) < 0;
            }
        } catch (IOException e) {
            reader.ended = true;
        }
    }

    /** Returns how much a client reads in this round. */
    private static int maxBytes(ReadPattern pattern, int round) {
        return switch (pattern) {
            case ONE_BYTE_PER_SECOND, DISCONNECTING -> 1;
            case STOPPED -> 0;
            case INTERMITTENT ->
                round % INTERMITTENT_PERIOD_ROUNDS < INTERMITTENT_PERIOD_ROUNDS / 2 ? 0 : INTERMITTENT_READ_BYTES;
        };
    }

    /** Stops reading and closes all connections. */
    @Override
    public void close() throws IOException {
        closed = true;
        thread.interrupt();
        for (SlowReader reader : readers) {
            reader.channel.close();
        }
    }
}
