package fawnlb.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients that each send the same part of a request and then wait. A client whose connection the server closes can
 * be replaced by {@link #reconnectClosed}.
 */
final class PartialRequests implements AutoCloseable {
    private final int port;
    private final byte[] partialRequest;
    private final List<SocketChannel> channels = new ArrayList<>();
    private final ByteBuffer discarded = ByteBuffer.allocate(64 * 1024);

    PartialRequests(int port, String partialRequest) {
        this.port = port;
        this.partialRequest = partialRequest.getBytes(StandardCharsets.ISO_8859_1);
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
        SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        try {
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(partialRequest));
            return channel;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Connects anew for each connection that the server has closed. */
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
