package fawnlb.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Many clients that connect and send nothing. Connecting does not wait for the server to accept. */
final class IdleClients implements AutoCloseable {
    private final List<SocketChannel> channels = new ArrayList<>();

    void connect(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channels.add(channel);
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress("127.0.0.1", port));
        }
    }

    /** Closes all connections; more can be opened afterwards. */
    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
        channels.clear();
    }
}
