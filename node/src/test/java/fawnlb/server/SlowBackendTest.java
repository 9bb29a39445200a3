package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A backend that reads large requests slowly. A request counts as begun when its last byte has been read. */
public class SlowBackendTest {
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final int BODY_BYTES = 200_000;
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int DEADLINE_MS = 4000;
    /** From the first byte of a head to its end. */
    private static final int RESPONSE_HEAD_TIMEOUT_MS = 500;

    private final ServerSocket backend = createBackend();

    private static ServerSocket createBackend() {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            return socket;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Before
    public void listen() throws IOException {
        backend.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @After
    public void close() throws IOException {
        backend.close();
    }

    private ServerHarness startServer() throws Exception {
        String address = "127.0.0.1:" + backend.getLocalPort();
        return ServerHarness.withConfig(ServerConfigJson.fixedList().endpoints(EndpointLists.ready(1, address)));
    }

    private static String largeRequest(String requestClass, int deadlineMs) {
        return Requests.post(
                Requests.CHAT_PATH,
                "x".repeat(BODY_BYTES),
                "X-Request-Id: id\r\nX-Class: " + requestClass + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n");
    }

    /** Accepts the connection of an attempt, and reads the first byte of its request. */
    private Socket acceptAttempt() throws IOException {
        Socket attempt = backend.accept();
        attempt.setSoTimeout(READ_TIMEOUT_MS);
        attempt.getInputStream().read();
        return attempt;
    }

    /** Returns how many bytes still come until the connection ends. */
    private static int countToEnd(Socket attempt) {
        byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
        int total = 0;
        try (attempt) {
            InputStream input = attempt.getInputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                total += count;
            }
        } catch (IOException e) {
            // A reset ends the connection too.
        }
        return total;
    }

    private static void assertIncomplete(Socket attempt) {
        int received = countToEnd(attempt);
        assertTrue(received + " bytes", received < BODY_BYTES);
    }

    /** Guards against requests that begin to run when their clients have long disconnected. */
    @Test
    public void requestIsNotCompletedAfterItsClientHasLeft() throws Exception {
        try (ServerHarness harness = startServer()) {
            Socket client = harness.connect();
            write(client, largeRequest("strict", 9000));
            Socket attempt = acceptAttempt();

            client.close();
            harness.awaitNoOpenRequests();

            assertIncomplete(attempt);
        }
    }

    /** Guards against requests that begin to run after their clients got a failure for them. */
    @Test
    public void requestIsNotCompletedAfterItsDeadline() throws Exception {
        try (ServerHarness harness = startServer();
                Socket client = harness.connect()) {
            write(client, largeRequest("strict", 500));
            Socket attempt = acceptAttempt();

            harness.awaitNoOpenRequests();

            assertIncomplete(attempt);
        }
    }

    /**
     * Guards against answers at the deadline to requests of which their backend had said at once that they did not run.
     */
    @Test
    public void rejectionBeforeTheRequestIsWrittenIsActedUponAtOnce() throws Exception {
        for (String framing : List.of(
                "Content-Length: 0\r\n\r\n",
                "Content-Length: 5\r\n\r\n",
                "Content-Length: 5\r\n\r\nabcde",
                "Connection: close\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) {
            try (ServerHarness harness = startServer();
                    Socket client = harness.connect()) {
                write(client, largeRequest("strict", DEADLINE_MS));
                Stopwatch stopwatch = new Stopwatch();
                try (Socket attempt = acceptAttempt()) {
                    write(attempt, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" + framing);

                    String status = FakeHttpServer.readLine(client.getInputStream());

                    assertTrue(status, status.startsWith("HTTP/1.1 503"));
                    assertTrue(
                            stopwatch.elapsed().toString(), stopwatch.elapsed().toMillis() < DEADLINE_MS / 2);
                }
            }
        }
    }

    /** Guards against requests that fail half a second after an interim response, long before their deadline. */
    @Test
    public void interimResponseLeavesTheRequestItsDeadline() throws Exception {
        try (ServerHarness harness = startServer();
                Socket client = harness.connect()) {
            write(client, largeRequest("strict", DEADLINE_MS));
            try (Socket attempt = acceptAttempt()) {
                write(attempt, "HTTP/1.1 100 Continue\r\n\r\n");
                TimeUnit.MILLISECONDS.sleep(2 * RESPONSE_HEAD_TIMEOUT_MS);
                attempt.getInputStream().readNBytes(BODY_BYTES);
                write(attempt, Responses.COMPLETE_STREAM);

                String status = FakeHttpServer.readLine(client.getInputStream());

                assertTrue(status, status.startsWith("HTTP/1.1 200"));
            }
        }
    }
}
