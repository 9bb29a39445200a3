package fawnlb.cli;

import static fawnlb.cli.Launch.connect;
import static fawnlb.cli.Launch.signal;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.Test;

/** What long days bring to the process as a whole, on the program as the deploy file starts it. */
public class LongDaysIT {
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    /**
     * Silent clients by hundreds at once: without a descriptor left, XNIO accepts nothing for 250 ms at a time, and the
     * node neither served nor refused anyone for three seconds after the burst.
     */
    @Test
    public void aBurstOfSilentClientsDoesNotTakeTheLastDescriptor() throws Exception {
        Path config = Rigged.file(Rigged.config("automatic", "127.0.0.1:1", ""));
        Process node = Launch.within("200", "serve", "--config", config.toString());
        List<SocketChannel> silent = new ArrayList<>();
        try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream()));
             Socket first = connect(log, "serves on")) {
            for (int i = 0; i < 600; i++) {
                SocketChannel client = SocketChannel.open();
                silent.add(client);
                client.configureBlocking(false);
                client.connect(new InetSocketAddress("127.0.0.1", first.getPort()));
            }
            try (Socket late = connect(first.getPort())) {
                write(late, READY);
                String answer = new String(late.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
            }
            signal(node, "TERM");
            String rest = log.lines().collect(Collectors.joining("\n"));
            assertFalse(rest, rest.contains("Too many open files"));
        } finally {
            node.destroyForcibly();
            for (SocketChannel client : silent) {
                client.close();
            }
        }
    }
}
