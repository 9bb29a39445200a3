import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Two backends for trying a node by hand, one for each API format: {@code java examples/ToyServer.java [PORT]}. The
 * first listens on PORT (9201 if it is not given) and the second on the next one. Each streams a few words and prints
 * the id and the size of every request.
 */
public final class ToyServer {
    private static final int DEFAULT_PORT = 9201;
    private static final int EVENT_INTERVAL_MILLIS = 50;
    private static final String[] WORDS = {"Move ", "the ", "scout ", "north."};

    private ToyServer() { }

    /** Starts both backends; they run until the process is killed. */
    public static void main(String[] args) throws IOException {
        int port = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_PORT;
        serve(port, "/v1/chat/completions", ToyServer::writeChatEvents);
        serve(port + 1, "/v1/messages", ToyServer::writeMessagesEvents);
        System.out.println("chat completions on 127.0.0.1:" + port + ", messages on 127.0.0.1:" + (port + 1));
    }

    /** Writes the events of one response. */
    private interface ResponseWriter {
        void write(OutputStream out) throws IOException, InterruptedException;
    }

    private static void serve(int port, String path, ResponseWriter writer) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext(path, exchange -> respond(exchange, port, writer));
        server.start();
    }

    private static void respond(HttpExchange exchange, int port, ResponseWriter writer) throws IOException {
        int requestBytes = exchange.getRequestBody().readAllBytes().length;
        System.out.println(port + ": " + exchange.getRequestHeaders().getFirst("X-Request-Id") + ", " + requestBytes + " bytes");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            writer.write(out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void writeEvent(OutputStream out, String text) throws IOException, InterruptedException {
        out.write((text + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(EVENT_INTERVAL_MILLIS);
    }

    private static void writeChatEvents(OutputStream out) throws IOException, InterruptedException {
        for (String word : WORDS) {
            writeEvent(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word + "\"},\"finish_reason\":null}]}");
        }
        writeEvent(out, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}");
        writeEvent(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":4}}");
        writeEvent(out, "data: [DONE]");
    }

    private static void writeMessagesEvents(OutputStream out) throws IOException, InterruptedException {
        writeEvent(out, "event: message_start\ndata: {\"type\":\"message_start\",\"message\":{\"id\":\"toy\",\"type\":\"message\","
                + "\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[],\"usage\":{\"input_tokens\":12}}}");
        writeEvent(out, "event: content_block_start\ndata: {\"type\":\"content_block_start\",\"index\":0,"
                + "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}");
        for (String word : WORDS) {
            writeEvent(out, "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,"
                    + "\"delta\":{\"type\":\"text_delta\",\"text\":\"" + word + "\"}}");
        }
        writeEvent(out, "event: content_block_stop\ndata: {\"type\":\"content_block_stop\",\"index\":0}");
        writeEvent(out, "event: message_delta\ndata: {\"type\":\"message_delta\",\"delta\":{\"stop_reason\":\"end_turn\"},"
                + "\"usage\":{\"output_tokens\":4}}");
        writeEvent(out, "event: message_stop\ndata: {\"type\":\"message_stop\"}");
    }
}
