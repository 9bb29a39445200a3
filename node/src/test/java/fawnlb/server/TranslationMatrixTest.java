package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.NO_BODY;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.ServerHarness.waitUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/** Each client dialect with each backend dialect, through every outcome, each of them counted. */
@RunWith(Parameterized.class)
public class TranslationMatrixTest {
    private static final String KEY = "x-api-key: k\r\n";
    private final Dialect clientDialect;
    private final Dialect backendDialect;
    private final AtomicInteger openAttempts = new AtomicInteger();
    private final List<String> syslogRecords = new ArrayList<>();
    private DatagramSocket collector;
    private FakeHttpServer fakeBackend;
    private ServerHarness harness;

    public TranslationMatrixTest(Dialect client, Dialect backend) {
        this.clientDialect = client;
        this.backendDialect = backend;
    }

    @Parameterized.Parameters(name = "{0} client, {1} target")
    public static List<Object[]> dialectPairs() {
        List<Object[]> pairs = new ArrayList<>();
        for (Dialect client : Dialect.values()) {
            for (Dialect backend : Dialect.values()) {
                pairs.add(new Object[] {client, backend});
            }
        }
        return pairs;
    }

    private static String textEvent(Dialect dialect, String text) {
        return dialect == Dialect.CHAT
                ? "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
                : "event: content_block_delta\ndata: {\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text
                        + "\"}}\n\n";
    }

    private static String startEvents(Dialect dialect) {
        return dialect == Dialect.CHAT
                ? ""
                : "event: message_start\ndata: {\"message\":{\"id\":\"m\",\"model\":\"m\","
                        + "\"usage\":{\"input_tokens\":4}}}\n\n";
    }

    private static String endEvents(Dialect dialect) {
        return dialect == Dialect.CHAT
                ? "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                        + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"
                : "event: message_delta\ndata: {\"delta\":{\"stop_reason\":\"end_turn\"},\"usage\":{\"output_tokens\":3}}\n\n"
                        + "event: message_stop\ndata: {\"type\":\"message_stop\"}\n\n";
    }

    private static String lastEvent(Dialect dialect) {
        return dialect == Dialect.CHAT ? "data: [DONE]" : "event: message_stop";
    }

    private void respond(FakeHttpServer.Request request, Socket socket) throws Exception {
        openAttempts.incrementAndGet();
        try {
            String first = responseHead(200, CHUNKED_ENCODING)
                    + chunk(startEvents(backendDialect) + textEvent(backendDialect, "Hel"));
            switch (request.requestId().replaceAll("-.*", "")) {
                case "served" ->
                    write(
                            socket,
                            first + chunk(textEvent(backendDialect, "lo") + endEvents(backendDialect)) + "0\r\n\r\n");
                case "mixed" ->
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("event: sparkle\ndata: {}\n\n" + startEvents(backendDialect)
                                            + textEvent(backendDialect, "Hel"))
                                    + chunk("event: glitter\ndata: a\ndata: b\n\n" + textEvent(backendDialect, "lo")
                                            + endEvents(backendDialect))
                                    + "0\r\n\r\n");
                case "whole" -> {
                    String body = backendDialect == Dialect.CHAT
                            ? "{\"choices\":[{\"message\":{\"content\":\"Hello\"}}]}"
                            : "{\"type\":\"message\",\"content\":[{\"type\":\"text\",\"text\":\"Hello\"}]}";
                    write(socket, responseHead(200, "Content-Length: " + body.length() + "\r\n") + body);
                }
                case "refused" -> write(socket, responseHead(503, NO_BODY, "X-Not-Run: 1\r\n"));
                case "bad" ->
                    write(
                            socket,
                            responseHead(400, "Content-Length: 43\r\n")
                                    + "{\"error\":{\"message\":\"prompt is too long\"}} ");
                case "failed" -> write(socket, responseHead(500, NO_BODY));
                case "broken" -> {
                    write(socket, first);
                    socket.close();
                }
                case "half" -> {
                    write(socket, first + chunk("data: {\"choi"));
                    socket.close();
                }
                case "wholehalf" -> {
                    write(socket, responseHead(200, "Content-Length: 50\r\n") + "{\"choices\":[");
                    socket.close();
                }
                case "cut" -> write(socket, first + "0\r\n\r\n");
                case "gone" -> {
                    write(socket, first);
                    socket.getInputStream().read();
                }
                default -> socket.getInputStream().read();
            }
        } finally {
            openAttempts.decrementAndGet();
        }
    }

    @Before
    public void start() throws Exception {
        collector = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        collector.setSoTimeout(10_000);
        fakeBackend = new FakeHttpServer(this::respond);
        String broker = "{\"listen\":\"127.0.0.1:0\",\"message-kinds\":[\"m\"],\"syslog\":{\"collector\":\"127.0.0.1:"
                + collector.getLocalPort()
                + "\"},\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\",\"strict\"],"
                + "\"models\":[\"m\"],\"deadline-ms\":3000,\"budget\":{\"requests\":12,\"tokens\":1000,\"window-ms\":60000}}]}";
        harness = new ServerHarness(
                ServerHarness.configJson(
                        "automatic",
                        "127.0.0.1:1",
                        ServerHarness.endpointJson(
                                1, fakeBackend.address(), backendDialect == Dialect.CHAT ? "c" : "m", "ready")),
                broker);
    }

    @After
    public void stop() throws Exception {
        harness.close();
        fakeBackend.close();
        collector.close();
    }

    private String request(String id, String... headers) {
        boolean stream = !id.startsWith("whole");
        return ServerHarness.postRequest(
                clientDialect.path(),
                "{\"model\":\"m\",\"max_tokens\":9,\"stream\":" + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
                KEY + "X-Request-Id: " + id + "\r\nX-Class: strict\r\n" + "Connection: close\r\n"
                        + String.join("", headers));
    }

    private String send(String id, String... headers) throws Exception {
        return harness.exchange(1, request(id, headers));
    }

    /** The body without its chunk sizes. */
    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 2).replaceAll("\r\n[0-9a-f]+\r\n", "");
    }

    private static String events(String answer) {
        return body(answer).replaceAll("\r\n", "");
    }

    private Map<String, Integer> receiveOutcomes(int records) throws Exception {
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        for (int i = 0; i < records; i++) {
            DatagramPacket packet = new DatagramPacket(new byte[3000], 3000);
            collector.receive(packet);
            String record = new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
            syslogRecords.add(record);
            ends.merge(record.replaceAll("(?s).* end=\"([a-z]+)\".*", "$1"), 1, Integer::sum);
        }
        return ends;
    }

    @Test
    public void everyOutcomeIsTranslatedAndLogged() throws Exception {
        String served = send("served-1");
        assertTrue(served, served.startsWith("HTTP/1.1 200") && served.endsWith("0\r\n\r\n"));
        assertTrue(served, served.contains("Hel") && served.contains(lastEvent(clientDialect)));

        String mixed = send("mixed-1");
        assertTrue(mixed, mixed.contains(lastEvent(clientDialect)));
        assertEquals(
                "unknown events pass only between speakers of one dialect",
                clientDialect == backendDialect,
                mixed.contains("sparkle"));
        if (clientDialect != backendDialect) {
            assertEquals(events(served), events(mixed));
        } else {
            assertTrue(
                    served,
                    events(served)
                            .contains(textEvent(backendDialect, "Hel")
                                    + textEvent(backendDialect, "lo")
                                    + endEvents(backendDialect)));
        }

        String whole = send("whole-1");
        assertTrue(whole, whole.contains("application/json") && whole.contains("Hello"));
        assertEquals(whole, clientDialect == Dialect.CHAT, whole.contains("\"choices\""));

        Object[][] fixed = {
            {"refused-1", "503", "overloaded_error", true},
            {"failed-1", "502", "api_error", false},
            {"silent-1", "504", "timeout_error", false}
        };
        for (Object[] row : fixed) {
            String answer = send((String) row[0], "X-Deadline-Ms: 500\r\n");
            assertTrue(answer, answer.startsWith("HTTP/1.1 " + row[1]) && answer.contains("\"" + row[2] + "\""));
            assertEquals(answer, row[3], answer.contains("Retry-After: "));
            assertEquals(answer, clientDialect == Dialect.MESSAGES, answer.contains("{\"type\":\"error\""));
        }

        String bad = send("bad-1");
        assertTrue(bad, bad.startsWith("HTTP/1.1 400") && bad.contains("prompt is too long"));
        assertTrue(bad, clientDialect == backendDialect || bad.contains("invalid_request_error"));

        String broken = send("broken-1");
        assertTrue(broken, broken.contains("Hel"));
        assertFalse(broken, broken.contains("\r\n0\r\n") || broken.contains(lastEvent(clientDialect)));
        assertEquals(broken, clientDialect == Dialect.MESSAGES ? 1 : 0, broken.split("event: error\n", -1).length - 1);
        assertTrue(
                broken,
                broken.contains("data: {" + (clientDialect == Dialect.MESSAGES ? "\"type\":\"error\"," : "")
                        + "\"error\":{\"type\":\"api_error\""));
        String half = send("half-1");
        assertEquals(
                "behind half an event no other is put", clientDialect != backendDialect, half.contains("\"error\":{"));
        assertFalse(half, half.contains("\r\n0\r\n") || half.contains(lastEvent(clientDialect)));
        String wholeHalf = send("wholehalf-1");
        assertTrue(wholeHalf, wholeHalf.startsWith("HTTP/1.1 502") && !wholeHalf.contains("choices"));
        String cut = send("cut-1");
        // The framing's end is not the answer's: without its last event it is no answer.
        assertFalse(cut, cut.contains("\r\n0\r\n") || cut.contains(lastEvent(clientDialect)));
        assertTrue(cut, cut.contains("the answer broke off (cut-short-midway)"));

        try (Socket socket = harness.connect(1)) {
            write(socket, request("gone-1"));
            String line = "";
            while (!line.contains("Hel")) {
                line = FakeHttpServer.readLine(socket.getInputStream());
            }
        }
        waitUntil("no forward is left out", () -> openAttempts.get() == 0 && harness.server.openRequests() == 0);

        assertEquals(
                Map.of("served", 3, "refused", 1, "failed", 3, "broken", 3, "gone", 1, "rejected", 1),
                receiveOutcomes(12));
        assertEquals(12, fakeBackend.requests.size());
        assertTrue(
                syslogRecords.get(0),
                syslogRecords.get(0).startsWith("<134>1 ")
                        && syslogRecords.get(0).contains(" [flow@32473 id=\"served-1\" team=\"t\"")
                        && syslogRecords.get(0).contains("tokens=\"7\""));
        assertTrue(syslogRecords.get(1), syslogRecords.get(1).contains("skipped=\"2\""));
    }

    @Test
    public void requestOutsideContractOrBudgetIsRejectedBeforeAnyAttempt() throws Exception {
        String body = request("x");
        String[][] cases = {
            {body.replace(KEY, ""), "401", "authentication_error"},
            {body.replace(KEY, "x-api-key: wrong\r\n"), "401", "no team"},
            {body.replace("\"m\",", "\"n\","), "403", "permission_error"},
            {body.replace("strict", "other"), "403", "class"},
            {body.replace("hi", "\\x"), "400", "JSON"},
            {body.replace("s\":9", "s\":9999"), "400", "budget"},
            {body.replace("POST " + clientDialect.path(), "POST /v1/other"), "404", "not_found_error"},
            {body.replace("POST", "PUT"), "405", "POST"},
            {
                ServerHarness.postRequest(clientDialect.path(), "x".repeat(300_000), KEY + "Connection: close\r\n"),
                "413",
                "request_too_large"
            },
        };
        for (String[] row : cases) {
            String length = row[0].contains("PUT")
                    ? row[0]
                    : row[0].replaceFirst(
                            "Content-Length: \\d+",
                            "Content-Length: "
                                    + row[0].substring(row[0].indexOf("\r\n\r\n") + 4)
                                            .length());
            String answer = harness.exchange(1, length);
            assertTrue(row[0] + answer, answer.startsWith("HTTP/1.1 " + row[1]) && answer.contains(row[2]));
        }
        assertEquals(0, fakeBackend.requests.size());
        for (int i = 0; i < 12; i++) {
            send("served-" + i);
        }
        String over = send("served-over");
        assertTrue(over, over.startsWith("HTTP/1.1 429") && over.contains("rate_limit_error"));
        assertTrue(over, over.matches("(?s).*Retry-After: [1-5]?[0-9](\\.[0-9]+)?\r\n.*"));
        assertEquals(12, fakeBackend.requests.size());
        assertEquals(Map.of("rejected", 10, "served", 12), receiveOutcomes(22));
    }
}
