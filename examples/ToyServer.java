import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Two toy backends for trying a node by hand, one of each dialect: {@code java examples/ToyServer.java [PORT]}.
 * Each streams a few words and says on standard output what it was asked.
 */
public final class ToyServer {
    private static final String[] WORDS = {"Move ", "the ", "scout ", "north."};

    private ToyServer() { }

    public static void main(String[] args) throws IOException {
        int port = args.length > 0 ? Integer.parseInt(args[0]) : 9201;
        serve(port, "/v1/chat/completions", ToyServer::chat);
        serve(port + 1, "/v1/messages", ToyServer::messages);
        System.out.println("chat completions on 127.0.0.1:" + port + ", messages on 127.0.0.1:" + (port + 1));
    }

    /** Writes the events of one answer. */
    private interface Answer {
        void write(OutputStream out) throws IOException, InterruptedException;
    }

    private static void serve(int port, String path, Answer answer) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext(path, exchange -> answer(exchange, port, answer));
        server.start();
    }

    private static void answer(HttpExchange exchange, int port, Answer answer) throws IOException {
        int bytes = exchange.getRequestBody().readAllBytes().length;
        System.out.println(port + ": " + exchange.getRequestHeaders().getFirst("X-Request-Id") + ", " + bytes + " bytes");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            answer.write(out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void event(OutputStream out, String text) throws IOException, InterruptedException {
        out.write((text + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(50);
    }

    private static void chat(OutputStream out) throws IOException, InterruptedException {
        for (String word : WORDS) {
            event(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word + "\"},\"finish_reason\":null}]}");
        }
        event(out, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}");
        event(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":4}}");
        event(out, "data: [DONE]");
    }

    private static void messages(OutputStream out) throws IOException, InterruptedException {
        event(out, "event: message_start\ndata: {\"type\":\"message_start\",\"message\":{\"id\":\"toy\",\"type\":\"message\","
                + "\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[],\"usage\":{\"input_tokens\":12}}}");
        event(out, "event: content_block_start\ndata: {\"type\":\"content_block_start\",\"index\":0,"
                + "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}");
        for (String word : WORDS) {
            event(out, "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,"
                    + "\"delta\":{\"type\":\"text_delta\",\"text\":\"" + word + "\"}}");
        }
        event(out, "event: content_block_stop\ndata: {\"type\":\"content_block_stop\",\"index\":0}");
        event(out, "event: message_delta\ndata: {\"type\":\"message_delta\",\"delta\":{\"stop_reason\":\"end_turn\"},"
                + "\"usage\":{\"output_tokens\":4}}");
        event(out, "event: message_stop\ndata: {\"type\":\"message_stop\"}");
    }
}
