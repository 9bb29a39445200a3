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
public final class Readers implements AutoCloseable {
    private static final int RECEIVE_BUFFER = 2048;
    private static final long ROUND_MS = 1000;

    /** How a client reads: a byte in each second, nothing at all, nothing for some seconds at a time, or it leaves. */
    public enum Manner {
        SLOW,
        STOPPED,
        STOP_AND_GO,
        LEAVES
    }

    private final List<Reader> readers = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "readers");
    private volatile boolean over;

    private static final class Reader {
        final Manner manner;
        final SocketChannel channel;
        boolean ended;

        Reader(Manner manner, SocketChannel channel) {
            this.manner = manner;
            this.channel = channel;
        }
    }

    /** Asks for one answer of {@code out} tokens, each event filled up by so many bytes. */
    public void ask(Manner manner, InetSocketAddress node, String name, RuleChecker rules, String id, int out, int pad)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER);
        channel.connect(node);
        String body = "{\"model\":\"advisor\",\"stream\":true,\"messages\":[]}";
        rules.asked(id, name);
        ByteBuffer request = ByteBuffer.wrap(("POST /v1/chat/completions?out=" + Integer.toHexString(out) + "&pad="
                        + Integer.toHexString(pad) + " HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + id
                        + "\r\nX-Class: advisor-chat\r\nX-Key: "
                        + id + "\r\nX-Deadline-Ms: 7000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        while (request.hasRemaining()) {
            channel.write(request);
        }
        channel.configureBlocking(false);
        readers.add(new Reader(manner, channel));
    }

    /** Begins to read, each in its manner. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (int round = 0; !over; round++) {
                for (Reader reader : readers) {
                    read(reader, round);
                }
                TimeUnit.MILLISECONDS.sleep(ROUND_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void read(Reader reader, int round) {
        int bytes = switch (reader.manner) {
            case SLOW -> 1;
            case STOPPED -> 0;
            case STOP_AND_GO -> round % 6 < 3 ? 0 : RECEIVE_BUFFER * 8;
            case LEAVES -> round < 3 ? 1 : -1;
        };
        try {
            if (bytes < 0) {
                reader.channel.close();
                reader.ended = true;
            } else if (bytes > 0 && !reader.ended) {
                reader.ended = reader.channel.read(ByteBuffer.allocate(bytes)) < 0;
            }
        } catch (IOException e) {
            reader.ended = true;
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        thread.interrupt();
        for (Reader reader : readers) {
            reader.channel.close();
        }
    }
}
