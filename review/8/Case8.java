import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/** A stream that mixes events of an unknown name with known ones is cut while its events still come. */
public final class Case8 extends Rig {
    /** How long the engine sends nothing but events of the unknown name. */
    private static final int UNKNOWN_EVENTS = 12;
    private static final int PAUSE_MILLIS = 500;
    private static final int REQUESTS = 2;
    private volatile int wholeAtEngine;
    private volatile long eventsWritten;

    private Case8(String[] args) throws Exception {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        new Case8(args).runAndExit();
    }

    @Override
    int play() throws Exception {
        Engine engine = new Engine("m1", this::answer);
        Discovery discovery = new Discovery();
        discovery.set("s-00000001", engine.port(), "regina-east", "messages-box", 1, "ready", 0);
        int port = freePort();
        int front = freePort();
        Path broker = scratch.resolve("messages.json");
        Files.writeString(broker, "{\"listen\":\"127.0.0.1:" + front + "\",\"message-kinds\":[\"messages-box\"],"
                + "\"teams\":[{\"name\":\"map-service\",\"key\":\"map-key\",\"classes\":[\"advisor-chat\"],"
                + "\"models\":[\"advisor\"],\"deadline-ms\":7500,"
                + "\"budget\":{\"requests\":600,\"tokens\":1500000,\"window-ms\":60000}}]}");
        Node node = new Node("n1", port, configuration(port, discovery.port(), 1024, "\"regina-east\"",
                "\"messages-box\"", profile("advisor-chat", "safe", "all")), "--broker " + broker);
        node.awaitReady();
        int lost = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            try (Client client = new Client(front)) {
                String body = "{\"model\":\"advisor\",\"stream\":true,\"max_tokens\":50,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"What now?\"}]}";
                long sentAt = millis();
                client.send("POST /v1/messages HTTP/1.1\r\nHost: backend.local\r\nx-api-key: map-key\r\nX-Request-Id: r" + i
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                Message answer = client.read(20_000);
                boolean isWhole = answer.status == 200 && answer.whole && answer.text().contains("message_stop");
                say("request r" + i + ": status " + answer.status + (isWhole ? ", whole" : ", cut") + " after "
                        + (millis() - sentAt) + " ms; its engine had written the last event "
                        + (System.nanoTime() - eventsWritten) / 1_000_000 + " ms before");
                answer.text().lines().filter(line -> line.contains("broke off")).forEach(line -> say("    " + line));
                lost += answer.status == 200 && !isWhole ? 1 : 0;
            }
        }
        sleep(1000);
        node.quoteLog("stream cut|SEVERE|WARN");
        say(lost + " of " + REQUESTS + " streams were cut while their events came; " + wholeAtEngine
                + " were written whole by the engine");
        return lost > 0 ? BROKEN : HELD;
    }

    private boolean answer(Message request, Socket socket) throws Exception {
        OutputStream out = socket.getOutputStream();
        write(out, STREAM_HEAD);
        event(out, "message_start", "{\"type\":\"message_start\",\"message\":{\"id\":\"m\",\"type\":\"message\","
                + "\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[],"
                + "\"usage\":{\"input_tokens\":5,\"output_tokens\":1}}}");
        event(out, "content_block_start", "{\"type\":\"content_block_start\",\"index\":0,"
                + "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}");
        text(out, "First ");
        if (trouble) {
            for (int i = 1; i <= UNKNOWN_EVENTS; i++) {
                sleep(PAUSE_MILLIS);
                event(out, "box.progress", "step " + i + " of " + UNKNOWN_EVENTS);
            }
        }
        sleep(PAUSE_MILLIS);
        text(out, "then.");
        event(out, "content_block_stop", "{\"type\":\"content_block_stop\",\"index\":0}");
        event(out, "message_delta", "{\"type\":\"message_delta\",\"delta\":{\"stop_reason\":\"end_turn\"},"
                + "\"usage\":{\"output_tokens\":4}}");
        event(out, "message_stop", "{\"type\":\"message_stop\"}");
        write(out, "0\r\n\r\n");
        wholeAtEngine++;
        return true;
    }

    private void text(OutputStream out, String text) throws Exception {
        event(out, "content_block_delta", "{\"type\":\"content_block_delta\",\"index\":0,"
                + "\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text + "\"}}");
    }

    private void event(OutputStream out, String name, String data) throws Exception {
        chunk(out, "event: " + name + "\ndata: " + data + "\n\n");
        eventsWritten = System.nanoTime();
    }
}
