package fawnlb.cli;

import static fawnlb.cli.Launch.connect;
import static fawnlb.cli.Launch.signal;
import static fawnlb.cli.Launch.start;
import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** The jar as it is built, started as the deploy file starts it. */
public class JarIT {
    private static String output(Process process, int code) throws Exception {
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(text, code, process.exitValue());
        return text;
    }

    @Test
    public void commandsSayWhatTheyAreForAndWhatIsWrong() throws Exception {
        assertTrue(output(start("version"), 0).startsWith("fawnlb 0."));
        assertTrue(output(start("check", "--config", "examples/node.json", "--broker", "examples/messages.json"), 0)
                .contains("1 team(s)"));
        assertTrue(output(start("rehearse"), 0).contains("served one request"));
        assertTrue(output(start("check", "--config", "examples/node.json", "--start", "deploy/start.json"), 0)
                .contains("/var/lib/fawnlb/targets.snapshot"));
        for (String[] arguments : new String[][] {{"show", "pom.xml"}, {"show", "nowhere"}, {"print", "pom.xml"}, {}}) {
            String text = output(start("snapshot", arguments), 2);
            assertTrue(text, text.startsWith("fawnlb: ") && text.lines().count() == 1);
        }
        for (String[] arguments : new String[][] {
            {"--config", "examples/node.json", "--start", "examples/node.json"},
            {"--config", "nowhere.json"},
            {"--config", "pom.xml"},
            {"--config", "examples/node.json", "--broker", "examples/node.json"},
            {"--odd"}
        }) {
            String text = output(start("serve", arguments), 2);
            assertTrue(text, text.startsWith("fawnlb: ") && text.lines().count() == 1);
        }
    }

    private static String rest(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    public void theSecondFrontServesATeamFromAChatBackend() throws Exception {
        try (StandIn backend = new StandIn((request, socket) -> write(
                socket,
                head(200, CHUNKED) + chunk("data: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\ndata: [DONE]\n\n")
                        + "0\r\n\r\n"))) {
            Path config = Rigged.file(
                    Rigged.config("automatic", "127.0.0.1:1", Rigged.member(1, backend.address(), "c", "ready")));
            Path broker = Rigged.file(Files.readString(Path.of("../examples/messages.json"))
                    .replace(":9100", ":0")
                    .replace("advisor-chat", "chat"));
            Process node = start("serve", "--config", config.toString(), "--broker", broker.toString());
            try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream()));
                    Socket client = connect(log, "teams on")) {
                write(
                        client,
                        Rigged.post(
                                "/v1/messages",
                                "{\"model\":\"advisor\",\"max_tokens\":5,\"stream\":true,"
                                        + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
                                "x-api-key: example-key\r\n",
                                "Connection: close\r\n"));
                String answer = rest(client);
                assertTrue(answer, answer.contains("\"text\":\"Hi\"") && answer.contains("event: message_stop"));
            } finally {
                node.destroyForcibly();
            }
        }
    }

    /** A discovery that lists the one backend, and keeps its watch open. */
    private static StandIn discovery(int revision, StandIn backend) throws IOException {
        return new StandIn((request, socket) -> {
            write(
                    socket,
                    head(200, CHUNKED)
                            + chunk("{\"revision\":" + revision + ",\"complete\":true,\"members\":["
                                    + Rigged.member(revision, backend.address(), "c", "ready") + "]}\n"));
            socket.getInputStream().read();
        });
    }

    /** SIGHUP ends a Java program that does not handle it; here it moves the list, or changes nothing. */
    @Test
    public void aHangupMovesDiscoveryAndABadFileChangesNothing() throws Exception {
        StandIn.Script stream =
                (request, socket) -> write(socket, head(200, CHUNKED) + chunk("data: a\n\n") + "0\r\n\r\n");
        try (StandIn before = new StandIn(stream);
                StandIn after = new StandIn(stream);
                StandIn first = discovery(2, before);
                StandIn second = discovery(1, after)) {
            Path config = Rigged.file(Rigged.config("subscribe", first.address(), ""));
            Process node = start("serve", "--config", config.toString());
            try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream()));
                    Socket any = connect(log, "serves on")) {
                Rigged.until("listed", () -> served(any.getPort(), before));
                Files.writeString(config, "{\"name\": ");
                signal(node, "HUP");
                String line = log.readLine();
                while (!line.contains("not reloaded")) {
                    line = log.readLine();
                }
                assertTrue(served(any.getPort(), before));
                Files.writeString(config, Rigged.config("subscribe", second.address(), ""));
                signal(node, "HUP");
                Rigged.until("moved", () -> served(any.getPort(), after));
                assertTrue(second.requests.get(0).line().contains("watch=1"));
                assertTrue(node.isAlive());
            } finally {
                node.destroyForcibly();
            }
        }
    }

    private static boolean served(int port, StandIn by) {
        int already = by.requests.size();
        try (Socket socket = connect(port)) {
            write(socket, Rigged.chat("id", 500));
            return rest(socket).startsWith("HTTP/1.1 200") && by.requests.size() > already;
        } catch (IOException e) {
            return false;
        }
    }

    /** What a node has taken before SIGTERM is answered whole, and the process then ends by itself. */
    @Test
    public void aPlannedEndAnswersWhatWasTaken() throws Exception {
        CountDownLatch ending = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        try (StandIn backend = new StandIn((request, socket) -> {
            write(socket, head(200, CHUNKED) + chunk("data: a\n\n"));
            begun.countDown();
            ending.await(10, TimeUnit.SECONDS);
            write(socket, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        })) {
            Path config = Rigged.file(
                    Rigged.config("automatic", "127.0.0.1:1", Rigged.member(1, backend.address(), "c", "ready")));
            Process node = start("serve", "--config", config.toString());
            try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream()));
                    Socket client = connect(log, "serves on")) {
                write(client, Rigged.chat("id", 3000).replace("Connection: close\r\n", ""));
                assertTrue(begun.await(5, TimeUnit.SECONDS));
                node.destroy();
                // A new configuration may come in the middle of a planned end.
                signal(node, "HUP");
                // New connections keep coming for a moment, and are served.
                try (Socket late = connect(client.getPort())) {
                    write(late, Rigged.chat("late", 3000));
                    ending.countDown();
                    for (Socket socket : new Socket[] {client, late}) {
                        String answer = rest(socket);
                        assertTrue(answer, answer.contains("data: [DONE]") && answer.endsWith("0\r\n\r\n"));
                    }
                }
                assertTrue("ends by itself", node.waitFor(5, TimeUnit.SECONDS));
            } finally {
                node.destroyForcibly();
            }
        }
    }
}
