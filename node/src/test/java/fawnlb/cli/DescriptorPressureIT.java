package fawnlb.cli;

import static fawnlb.cli.Launch.connect;
import static fawnlb.cli.Launch.signal;
import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.cli.Launch.Running;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.After;
import org.junit.Test;

/** Idle clients take all descriptors that are theirs while discovery is down; all else still gets its own. */
public class DescriptorPressureIT {
    private static final int LIMIT = 200;
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    private final List<SocketChannel> idle = new ArrayList<>();

    @After
    public void closeIdle() throws IOException {
        for (SocketChannel client : idle) {
            client.close();
        }
    }

    private void connectIdle(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel client = SocketChannel.open();
            idle.add(client);
            client.configureBlocking(false);
            client.connect(new InetSocketAddress("127.0.0.1", port));
        }
    }

    private static String ask(int port, String request) {
        try (Socket client = connect(port)) {
            write(client, request);
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    public void reloadWatchAndServersGetDescriptorsWhileIdleClientsTakeAllOfTheirs() throws Exception {
        String answer = head(200, CHUNKED) + chunk("data: {\"choices\":[]}\n\ndata: [DONE]\n\n") + "0\r\n\r\n";
        try (StandIn server = new StandIn((request, socket) -> write(socket, answer));
                StandIn discovery = new StandIn((request, socket) -> {
                    write(
                            socket,
                            head(200, CHUNKED)
                                    + chunk("{\"revision\":2,\"complete\":true,\"members\":["
                                            + Rigged.member(1, server.address(), "c", "ready") + "]}\n"));
                    while (true) {
                        TimeUnit.SECONDS.sleep(1);
                        write(socket, chunk("\n"));
                    }
                })) {
            Path config = Rigged.file(Rigged.config("subscribe", "127.0.0.1:" + Rigged.closedPort(), ""));
            try (Running node =
                            new Running(Launch.after("ulimit -n " + LIMIT, "serve", "--config", config.toString()));
                    Socket first = connect(node.log, "serves on")) {
                int port = first.getPort();
                connectIdle(port, 3 * LIMIT);
                assertTrue(
                        "no list yet: refused at once",
                        ask(port, Rigged.chat("early", 3000)).startsWith("HTTP/1.1 503"));
                Files.writeString(config, Rigged.config("subscribe", discovery.address(), ""));
                signal(node.process, "HUP");
                connectIdle(port, LIMIT);
                Rigged.until("watched", () -> !discovery.requests.isEmpty());
                Rigged.until("ready", () -> ask(port, READY).startsWith("HTTP/1.1 200"));
                for (int i = 0; i < 20; i++) {
                    connectIdle(port, 10);
                    String served = ask(port, Rigged.chat("id" + i, 3000));
                    assertTrue(served, served.startsWith("HTTP/1.1 200") && served.endsWith("0\r\n\r\n"));
                }
                closeIdle();
                assertTrue("recovers", ask(port, Rigged.chat("after", 3000)).startsWith("HTTP/1.1 200"));
                signal(node.process, "TERM");
                String rest = node.log.lines().collect(Collectors.joining("\n"));
                assertFalse(rest, rest.contains("Too many open files"));
            }
        }
    }
}
