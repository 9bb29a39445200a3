package fawnlb.backend;

import static fawnlb.backend.BackendPoolHarness.SECOND_NANOS;
import static fawnlb.backend.BackendPoolHarness.addressOf;
import static fawnlb.backend.BackendPoolHarness.listen;
import static fawnlb.backend.BackendPoolHarness.readHeader;
import static fawnlb.backend.BackendPoolHarness.readRequestId;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** What may happen between the decision to send a request and the moment at which its connection is up. */
public class SendGuardTest {
    private BackendPoolHarness harness;
    private ServerSocket server;
    private InetSocketAddress address;

    @Before
    public void start() throws IOException {
        harness = new BackendPoolHarness(0);
        server = listen();
        address = addressOf(server);
    }

    @After
    public void stop() throws IOException {
        harness.close();
        server.close();
    }

    // ---- Obstacles -----------------------------------------------------------------------------------------

    /** Sent at its connection's start, the request would arrive after the grace period. */
    @Test
    public void attemptIsNotSentWhenBackendStartsDrainingDuringConnect() throws Exception {
        long countBefore = count("backend_drains");

        assertNotSentAfter(Long.MAX_VALUE, () -> harness.updateBackend(1, address, EndpointPhase.DRAINING));

        assertOnlyNextIsSentOnConnection();
        assertTrue(count("backend_drains") > countBefore);
    }

    @Test
    public void attemptIsNotSentWhenBackendIsRemovedDuringConnect() throws Exception {
        long countBefore = count("backend_left");

        assertNotSentAfter(Long.MAX_VALUE, () -> harness.updateBackend(1, address, EndpointPhase.GONE));

        assertOnlyNextIsSentAfterRemoval();
        assertTrue(count("backend_left") > countBefore);
    }

    @Test
    public void attemptIsNotSentAfterItsSendDeadline() throws Exception {
        long countBefore = count("repeat_window_over");

        assertNotSentAfter(harness.timers.now(), () -> {});

        assertOnlyNextIsSentOnConnection();
        assertTrue(count("repeat_window_over") > countBefore);
    }

    @Test
    public void attemptIsNotSentWhenClientDisconnectsDuringConnect() throws Exception {
        long countBefore = count("not_wanted");

        assertNotSentAfter(Long.MAX_VALUE, () -> harness.isClientConnected = false);

        assertOnlyNextIsSentOnConnection();
        assertTrue(count("not_wanted") > countBefore);
    }

    @Test
    public void attemptIsNotSentWhenDeadlinePassesDuringConnect() throws Exception {
        long countBefore = count("out_of_time");

        startAttemptWhileThreadIsBusy(SECOND_NANOS / 10);

        assertEquals("not-sent", harness.awaitAttemptEnd());
        assertTrue(count("out_of_time") > countBefore);
    }

    /** Starts an attempt and then a change in one turn of the event loop: the connect can't come up in between. */
    private void assertNotSentAfter(long sendDeadlineNanos, Runnable change) throws Exception {
        harness.execute(() -> {
            harness.updateBackend(1, address, EndpointPhase.READY);
            harness.startAttempt(1, "early", harness.timers.now() + SECOND_NANOS, sendDeadlineNanos);
            change.run();
        });
        assertEquals("not-sent", harness.awaitAttemptEnd());
    }

    /** The connection of the attempt that was not sent carries the next one, and nothing before that. */
    private void assertOnlyNextIsSentOnConnection() throws IOException {
        startNextAttempt();
        try (Socket socket = server.accept()) {
            assertEquals("next", readRequestId(socket));
        }
    }

    /** The removed backend's connection is closed without a request; the backend that replaces it opens its own. */
    private void assertOnlyNextIsSentAfterRemoval() throws IOException {
        startNextAttempt();
        try (Socket removed = server.accept();
                Socket replacement = server.accept()) {
            assertEquals("next", readRequestId(replacement));
            assertEquals("nothing was sent", -1, removed.getInputStream().read());
        }
    }

    private void startNextAttempt() {
        harness.execute(() -> {
            harness.isClientConnected = true;
            harness.updateBackend(1, address, EndpointPhase.READY);
            harness.startAttempt(1, "next");
        });
    }

    private static long count(String obstacleLabel) {
        return Metrics.value(Metric.SENDS_PREVENTED, obstacleLabel);
    }

    // ---- The deadline header -------------------------------------------------------------------------------

    @Test
    public void deadlineHeaderIsTimeRemainingWhenRequestIsWritten() throws Exception {
        startAttemptWhileThreadIsBusy(SECOND_NANOS);

        try (Socket socket = server.accept()) {
            long deadlineMillis = Long.parseLong(readHeader(socket, "X-Deadline-Ms"));
            assertTrue("stated " + deadlineMillis + " ms", deadlineMillis <= 800);
        }
    }

    /** Keeps the event loop busy for 0.2 s between the attempt's start and its connection. */
    private void startAttemptWhileThreadIsBusy(long remainingNanos) {
        harness.execute(() -> {
            harness.updateBackend(1, address, EndpointPhase.READY);
            harness.startAttempt(1, "late", harness.timers.now() + remainingNanos, Long.MAX_VALUE);
            long busyUntilNanos = harness.timers.now() + SECOND_NANOS / 5;
            while (harness.timers.now() < busyUntilNanos) {
                Thread.onSpinWait();
            }
        });
    }
}
