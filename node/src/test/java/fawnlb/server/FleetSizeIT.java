package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
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
import java.util.stream.IntStream;
import org.junit.Test;

/** The largest fleet that is promised, on the program as the deploy file starts it. */
public class FleetSizeIT {
    private static final int BACKEND_COUNT = 1024;
    private static final int INSTANCE_COUNT = 1024;
    private static final int RELEASE_COUNT = 4;
    private static final int REQUESTS_PER_RELEASE = 200;
    /** Of the 48 MB of the heap, for what stays; bodies may take 12 MB beside it. */
    private static final int MAX_LIVE_MEGABYTES = 32;

    private static final Pattern USED_KILOBYTES =
            Pattern.compile("(?:new|tenured) generation\\s+total \\d+K, used (\\d+)K");
    private static final String RESPONSE = stream("data: {\"choices\":[]}\n\n" + Responses.DONE_EVENT);

    private final BlockingQueue<String> listsToSend = new LinkedBlockingQueue<>();
    private final Set<String> servedIds = new HashSet<>();

    /** Returns the complete list of a release, in which each backend has a new id. */
    private static String endpointList(int release, FakeHttpServer backend) {
        return EndpointLists.completeList(
                release,
                IntStream.range(0, BACKEND_COUNT)
                        .mapToObj(i -> EndpointLists.ready(1, backend)
                                .replace("s-00000001", String.format("s-%08x", release * BACKEND_COUNT + i)))
                        .toArray(String[]::new));
    }

    private static String runJcmd(ServerProcess server, String command) throws Exception {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process process = new ProcessBuilder(jcmd, Long.toString(server.pid()), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(output, 0, process.waitFor());
        return output;
    }

    private static int liveMegabytes(ServerProcess server) throws Exception {
        runJcmd(server, "GC.run");
        String heapInfo = runJcmd(server, "GC.heap_info");
        int kilobytes = 0;
        for (Matcher used = USED_KILOBYTES.matcher(heapInfo); used.find(); ) {
            kilobytes += Integer.parseInt(used.group(1));
        }
        assertTrue(heapInfo, kilobytes > 0);
        return kilobytes / 1024;
    }

    private void assertServed(int port, String id) throws IOException {
        String response = ServerProcess.exchange(port, chat(id, 4000, sessionKey(id)));
        assertTrue(id + ": " + response, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
        servedIds.add(id);
    }

    /** Sends the requests of one release, and the next release's endpoint list halfway through. */
    private void serveRelease(int port, int release, FakeHttpServer backend) throws IOException {
        for (int i = 0; i < REQUESTS_PER_RELEASE; i++) {
            assertServed(port, "r" + release + "-" + i);
            if (i == REQUESTS_PER_RELEASE / 2) {
                listsToSend.add(endpointList(release + 1, backend));
            }
        }
    }

    @Test
    public void thousandEndpointListIsReplacedUnderLoadWithinHeap() throws Exception {
        List<Integer> liveMegabytes = new ArrayList<>();
        try (FakeHttpServer backend = FakeHttpServer.responding(RESPONSE);
                FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream());
                    while (true) {
                        write(connection, chunk(listsToSend.take()));
                    }
                })) {
            listsToSend.add(endpointList(1, backend));
            Path config = ServerConfigJson.watching(discovery)
                    .instances(INSTANCE_COUNT)
                    .file();
            try (ServerProcess server = ServerProcess.serve(config)) {
                int port = server.awaitPort();
                waitUntil("list received", () -> ServerProcess.isReady(port));
                for (int release = 1; release <= RELEASE_COUNT; release++) {
                    serveRelease(port, release, backend);
                    liveMegabytes.add(liveMegabytes(server));
                }
                assertTrue("still running", server.isAlive());
            }

            assertEquals(RELEASE_COUNT * REQUESTS_PER_RELEASE, servedIds.size());
            assertEquals("each request reached a backend once", servedIds.size(), backend.requests.size());
            assertTrue(
                    "live megabytes: " + liveMegabytes,
                    liveMegabytes.stream().allMatch(megabytes -> megabytes <= MAX_LIVE_MEGABYTES));
        }
    }
}
