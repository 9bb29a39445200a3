import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A request that may have run in one zone runs again in the other, after an engine whose id ends alike has drained. */
public final class Case6 extends Rig {
    private static final int REQUESTS = 24;
    private static final String EAST = "regina-east";
    private static final String NORTH = "saskatoon-north";
    /** By request id: where it ran, in the order of the runs. */
    private final Map<String, List<String>> runs = new TreeMap<>();

    private Case6(String[] args) throws Exception {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        new Case6(args).runAndExit();
    }

    @Override
    int play() throws Exception {
        Engine s1 = engine("s-00000001", EAST, false);
        Engine s3 = engine("s-00000003", EAST, false);
        Engine t1 = engine("t-00000001", NORTH, true);
        Engine t2 = engine("t-00000002", NORTH, false);
        Discovery discovery = new Discovery();
        discovery.set(s1.name, s1.port(), EAST, "full-rate", 1, "ready", 0);
        discovery.set(s3.name, s3.port(), EAST, "full-rate", 1, "ready", 0);
        discovery.set(t1.name, t1.port(), NORTH, "full-rate", 2, "ready", 0);
        discovery.set(t2.name, t2.port(), NORTH, "full-rate", 2, "ready", 0);
        int port = freePort();
        Node node = new Node("n1", port, configuration(port, discovery.port(), 1024,
                '"' + EAST + "\",\"" + NORTH + '"', "\"full-rate\"", profile("advisor-chat", "keyed", "zone")), "");
        node.awaitReady();
        sleep(500);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("r%02d", i);
            clients.add(daemon(() -> ask(port, id)));
            sleep(10);
        }
        sleep(300);
        if (trouble) {
            discovery.set(s1.name, s1.port(), EAST, "full-rate", 1, "draining", 0);
        }
        for (Thread client : clients) {
            client.join(12_000);
        }
        int failedAttempts = 0;
        int broken = 0;
        synchronized (runs) {
            for (Map.Entry<String, List<String>> each : runs.entrySet()) {
                Set<String> zones = new TreeSet<>();
                each.getValue().forEach(run -> zones.add(run.substring(run.indexOf('@') + 1)));
                failedAttempts += each.getValue().size() > 1 ? 1 : 0;
                broken += zones.size() > 1 ? 1 : 0;
                say("request " + each.getKey() + " ran at " + each.getValue()
                        + (zones.size() > 1 ? "  <- in both zones" : ""));
            }
        }
        say(failedAttempts + " requests ran again, " + broken + " of them in another zone than before");
        node.quoteLog("SEVERE|WARN");
        if (broken > 0) {
            return BROKEN;
        }
        synchronized (runs) {
            boolean hasFailed = runs.values().stream().anyMatch(each -> each.get(0).startsWith("t-00000001"));
            return hasFailed ? HELD : NOT_RUN;
        }
    }

    private Engine engine(String id, String zone, boolean fails) throws Exception {
        return new Engine(id, (request, socket) -> {
            synchronized (runs) {
                runs.computeIfAbsent(request.header("x-request-id"), key -> new ArrayList<>()).add(id + "@" + zone);
            }
            if (!fails) {
                return stream(socket, 3, 20);
            }
            sleep(1000);
            write(socket.getOutputStream(), "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
    }

    private void ask(int port, String id) {
        try (Client client = new Client(port)) {
            client.send(platformRequest(id, "advisor-chat", id + "f3a9c21e0b4d6", 7500, CHAT_BODY));
            Message answer = client.read(9000);
            say("client of " + id + " got status " + answer.status + (answer.whole ? ", whole" : ", not whole"));
        } catch (Exception e) {
            say("client of " + id + ": " + e);
        }
    }
}
