package fawnlb.cli;

import static fawnlb.cli.Launch.connect;
import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.cli.Launch.Running;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;

/** The largest fleet that is promised, on the program as the deploy file starts it. */
public class FleetSizeIT {
    private static final int SERVERS = 1024;
    private static final int NODES = 1024;
    private static final int RELEASES = 4;
    private static final int REQUESTS_PER_RELEASE = 200;
    /** Of the 48 MB of the heap, for what stays; bodies may take 12 MB beside it. */
    private static final int MAX_LIVE_MB = 32;

    private static final String ANSWER =
            head(200, CHUNKED) + chunk("data: {\"choices\":[]}\n\ndata: [DONE]\n\n") + "0\r\n\r\n";

    /** The whole list of a release, each server under a name of its own. */
    private static String release(int number, String address) {
        return "{\"revision\":" + number + ",\"complete\":true,\"members\":["
                + IntStream.range(0, SERVERS)
                        .mapToObj(i -> Rigged.member(1, address, "c", "ready")
                                .replace("s-00000001", String.format("s-%08x", number * SERVERS + i)))
                        .collect(Collectors.joining(","))
                + "]}\n";
    }

    private static int liveMegabytes(Process node) throws Exception {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        assertEquals(
                0,
                new ProcessBuilder(jcmd, Long.toString(node.pid()), "GC.run")
                        .redirectErrorStream(true)
                        .start()
                        .waitFor());
        Process info = new ProcessBuilder(jcmd, Long.toString(node.pid()), "GC.heap_info")
                .redirectErrorStream(true)
                .start();
        String text = new String(info.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int kilobytes = 0;
        for (Matcher used = Pattern.compile("(?:new|tenured) generation\\s+total \\d+K, used (\\d+)K")
                        .matcher(text);
                used.find(); ) {
            kilobytes += Integer.parseInt(used.group(1));
        }
        assertTrue(text, kilobytes > 0);
        return kilobytes / 1024;
    }

    private static boolean isReady(int port) {
        try (Socket client = connect(port)) {
            write(client, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private static void serve(int port, String id) throws IOException {
        try (Socket client = connect(port)) {
            write(client, Rigged.chat(id, 4000, "X-Key: " + id + "\r\n"));
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(id + ": " + answer, answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"));
        }
    }

    @Test
    public void listOfThousandServersIsTakenAndReplacedUnderLoadWithinTheHeap() throws Exception {
        BlockingQueue<String> releases = new LinkedBlockingQueue<>();
        try (StandIn server = new StandIn((request, socket) -> write(socket, ANSWER));
                StandIn discovery = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED));
                    while (true) {
                        write(socket, chunk(releases.take()));
                    }
                })) {
            Path config = Rigged.file(Rigged.config("subscribe", discovery.address(), "")
                    .replace("\"registry-mode\"", "\"replicas-of-me\":" + NODES + ",\"registry-mode\""));
            releases.add(release(1, server.address()));
            List<Integer> live = new ArrayList<>();
            Set<String> served = new HashSet<>();
            try (Running node = new Running(Launch.start("serve", "--config", config.toString()));
                    Socket first = connect(node.log, "serves on")) {
                int port = first.getPort();
                Rigged.until("the list was taken", () -> isReady(port));
                for (int number = 1; number <= RELEASES; number++) {
                    for (int i = 0; i < REQUESTS_PER_RELEASE; i++) {
                        String id = "r" + number + "-" + i;
                        serve(port, id);
                        served.add(id);
                        if (i == REQUESTS_PER_RELEASE / 2) {
                            releases.add(release(number + 1, server.address()));
                        }
                    }
                    live.add(liveMegabytes(node.process));
                }
                assertTrue("still running", node.process.isAlive());
            }
            assertEquals(RELEASES * REQUESTS_PER_RELEASE, served.size());
            assertEquals("each request reached a server once", served.size(), server.requests.size());
            assertTrue("MB that stay: " + live, live.stream().allMatch(megabytes -> megabytes <= MAX_LIVE_MB));
        }
    }
}
