package fawnlb.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients that each send the same request, or a part of one, and then wait without reading. A client whose
 * connection the server closes can be replaced by {@link #reconnectClosed}.
 */
final class PartialRequests implements AutoCloseable {
    /** Stands for the number of the client in what it sends. */
    static final String CLIENT_NUMBER = "{client}";

    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private final InetSocketAddress server;
    private final String request;
    private final List<SocketChannel> channels = new ArrayList<>();
    private final ByteBuffer discarded = ByteBuffer.allocate(64 * 1024);
    private int connectedClients;

    PartialRequests(int port, String request) {
        this.server = new InetSocketAddress("127.0.0.1", port);
        this.request = request;
    }

    void connect(int count) {
        for (int i = 0; i < count; i++) {
            try {
                channels.add(connectAndSend());
            } catch (IOException e) {
                // The server has ended or closes connections to protect itself; the test looks at the server.
            }
        }
    }

    private SocketChannel connectAndSend() throws IOException {
        String sent = request.replace(CLIENT_NUMBER, Integer.toString(connectedClients++));
        SocketChannel channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.connect(server);
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(sent.getBytes(StandardCharsets.ISO_8859_1)));
            return channel;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Reads what the server has sent, and connects anew for each connection that it has closed. */
    void reconnectClosed() throws IOException {
        List<SocketChannel> closed = new ArrayList<>();
        for (SocketChannel channel : channels) {
            if (isClosedByServer(channel)) {
                channel.close();
                closed.add(channel);
            }
        }
        channels.removeAll(closed);
        connect(closed.size());
    }

    private boolean isClosedByServer(SocketChannel channel) {
        try {
            int count = channel.read(discarded.clear());
            while (count > 0) {
                count = channel.read(discarded.clear());
            }
            return count < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
