import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One engine of five hangs in the middle of its work for 4 s, shorter than the 5 s after which a client must not be left
 * waiting, and then goes on. The streams that it has begun must reach their clients whole.
 */
final class HungEngine {
    private static final int ENGINES = 5;
    private static final int REQUESTS_PER_SECOND = 10;
    private static final long RUN_MS = 26_000;
    private static final long HANG_FROM_MS = 14_000;
    /** "... if the client is left waiting for 5 s after a running engine's last event": the hang is shorter. */
    private static final long HANG_MS = 4_000;
    /** An event every five tokens, one token every 50 ms; 110 tokens. */
    private static final int EVENTS = 22;
    private static final long EVENT_GAP_MS = 250;

    private static volatile long hangsFromMs = Long.MAX_VALUE;

    private HungEngine() {}

    public static void main(String[] arguments) {
        Kit.main(arguments, HungEngine::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        Engine[] engines = new Engine[ENGINES];
        for (int i = 0; i < ENGINES; i++) {
            boolean hangs = i == 0;
            engines[i] = new Engine("s-0000000" + (i + 1));
            engines[i].behaviour = (attempt, out) -> {
                pause(hangs, EVENT_GAP_MS);
                Engine.streamHead(out);
                for (int event = 0; event < EVENTS; event++) {
                    Engine.chunk(out, Engine.event(attempt.id() + "-" + event));
                    pause(hangs, EVENT_GAP_MS);
                }
                Engine.streamEnd(out);
            };
        }
        discovery.tell("ready", engines);
        int port = Kit.freePort();
        Path file = Kit.writeFile("config.json", Kit.configuration(port, discovery.port, Kit.settings()));
        Process node = Kit.startNode(file, "", "node.log");
        Kit.awaitReady(node, port);
        long startMs = Kit.nowMs();
        if (Kit.TROUBLE) {
            hangsFromMs = startMs + HANG_FROM_MS;
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; Kit.nowMs() < startMs + RUN_MS; i++) {
            String id = "request-" + i;
            clients.add(Kit.start("client " + id, () -> {
                try (Client client = new Client(port, 30_000)) {
                    client.send(Kit.request(id, Integer.toHexString(id.hashCode()), 7500, "", "What now?"));
                    Client.Response response = client.readResponse();
                    if (response != null && response.status == 200) {
                        (response.complete ? whole : cut).incrementAndGet();
                    }
                    if (response == null || !response.complete || response.status != 200) {
                        Kit.record("%s ends at %s", id, response);
                    }
                }
                return true;
            }));
            Kit.sleepMs(1000 / REQUESTS_PER_SECOND);
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        Kit.copyLog("node.log");
        if (!node.isAlive() || whole.get() == 0) {
            throw new IOException("the node has ended, or served nothing");
        }
        Kit.record("%d streams whole, %d cut off", whole.get(), cut.get());
        return cut.get() == 0;
    }

    /** Waits for the next event; an engine that hangs does nothing until its hang is over. */
    private static void pause(boolean hangs, long millis) throws InterruptedException {
        Kit.sleepMs(millis);
        long nowMs = Kit.nowMs();
        if (hangs && nowMs >= hangsFromMs && nowMs < hangsFromMs + HANG_MS) {
            Kit.sleepUntilMs(hangsFromMs + HANG_MS);
        }
    }
}
