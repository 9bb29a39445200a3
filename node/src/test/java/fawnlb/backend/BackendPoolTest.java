package fawnlb.backend;

import static fawnlb.backend.BackendPoolHarness.SECOND_NANOS;
import static fawnlb.backend.BackendPoolHarness.addressOf;
import static fawnlb.backend.BackendPoolHarness.listen;
import static fawnlb.backend.BackendPoolHarness.readRequestId;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class BackendPoolTest {
    private static final int BACKEND_COUNT = 50;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final byte[] NOT_RUN =
            "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Once, a backend that was removed with an attempt in its mailbox was kept for ever. */
    @Test
    public void removedBackendIsForgottenWhenItsLastAttemptEnds() throws Exception {
        try (BackendPoolHarness harness = new BackendPoolHarness(0)) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
            harness.execute(() -> {
                for (int id = 1; id <= BACKEND_COUNT; id++) {
                    harness.updateBackend(id, address, EndpointPhase.READY);
                    harness.startAttempt(id, "i" + id);
                    harness.updateBackend(id, address, EndpointPhase.GONE);
                }
            });
            for (int i = 0; i < BACKEND_COUNT; i++) {
                assertNotNull(harness.awaitAttemptEnd());
            }

            CompletableFuture<Integer> backends = new CompletableFuture<>();
            harness.execute(() -> backends.complete(harness.streams.statistics().size()));
            assertEquals(0, (int) backends.get(10, TimeUnit.SECONDS));
        }
    }

    /**
     * The second response comes after the next request was sent; on one connection it would be taken for its response.
     */
    @Test
    public void unsolicitedSecondResponseIsNotMatchedToNextRequest() throws Exception {
        try (BackendPoolHarness harness = new BackendPoolHarness(SECOND_NANOS);
                ServerSocket server = listen()) {
            server.setSoTimeout(READ_TIMEOUT_MILLIS);
            harness.execute(() -> {
                harness.updateBackend(1, addressOf(server), EndpointPhase.READY);
                harness.startAttempt(1, "first");
            });
            try (Socket first = server.accept()) {
                assertEquals("first", readRequestId(first));
                first.getOutputStream().write(NOT_RUN);
                assertEquals("turned-away", harness.awaitAttemptEnd());

                harness.execute(() -> harness.startAttempt(1, "next"));
                try (Socket second = server.accept()) {
                    assertEquals("next", readRequestId(second));
                    first.getOutputStream().write(NOT_RUN);

                    assertEquals("closed by the unsolicited response", -1, readToEnd(first));
                    assertTrue(harness.hasNoFurtherAttemptEnd());
                }
            }
        }
    }

    private static int readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        int last = 0;
        while (last >= 0) {
            last = socket.getInputStream().read();
        }
        return last;
    }
}
