package fawnlb.server;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A syslog collector that receives records over UDP. */
final class SyslogCollector implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int MAX_RECORD_BYTES = 3000;

    private final DatagramSocket socket;

    SyslogCollector() throws IOException {
        socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(TIMEOUT_MS);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Waits for the next record. */
    String receive() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_RECORD_BYTES], MAX_RECORD_BYTES);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    /** Waits for this number of records and counts them by their outcome. */
    Map<String, Integer> receiveOutcomes(int records) throws IOException {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int i = 0; i < records; i++) {
            outcomes.merge(outcome(receive()), 1, Integer::sum);
        }
        return outcomes;
    }

    /** Returns the outcome that a record names. */
    static String outcome(String record) {
        return record.replaceAll("(?s).* end=\"([a-z]+)\".*", "$1");
    }

    @Override
    public void close() {
        socket.close();
    }
}
