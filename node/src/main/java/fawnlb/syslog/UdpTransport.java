package fawnlb.syslog;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** Sends each record as a datagram of its own (RFC 5426). */
final class UdpTransport implements SyslogTransport {
    private final InetSocketAddress collector;
    private final Runnable onDrop;
    private final DatagramChannel channel;

    /** Opens a socket; {@code onDrop} runs for each record that the system does not take. */
    UdpTransport(InetSocketAddress collector, Runnable onDrop) throws IOException {
        this.collector = collector;
        this.onDrop = onDrop;
        this.channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    @Override
    public void send(byte[] record) {
        try {
            if (channel.send(ByteBuffer.wrap(record), collector) == 0) {
                onDrop.run();
            }
        } catch (IOException e) {
            onDrop.run();
        }
    }
}
