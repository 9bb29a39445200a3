import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for discovery: what changed after the revision asked for or the whole list, then
 * each change, and an empty line every 2 s.
 */
final class Discovery {
    final int port;
    private final ServerSocket server;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private long revision = 41;

    private final class Watch {
        private final Socket socket;
        private final OutputStream out;

        Watch(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void send(String text) {
            try {
                Engine.chunk(out, text);
            } catch (IOException e) {
                watches.remove(this);
            }
        }
    }

    Discovery() throws IOException {
        this(0);
    }

    Discovery(int wantedPort) throws IOException {
        server = new ServerSocket(wantedPort, 100, Kit.LOOPBACK);
        port = server.getLocalPort();
        Kit.start("discovery", this::accept);
        Kit.start("heartbeats", this::beat);
    }

    private boolean accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Kit.start("call to discovery", () -> serve(socket));
        }
        return true;
    }

    private boolean serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String line = Kit.readLine(in);
        if (line == null) {
            socket.close();
            return true;
        }
        for (String header = Kit.readLine(in); header != null && !header.isEmpty(); header = Kit.readLine(in)) {
            // No header matters.
        }
        Kit.record("discovery gets %s", line);
        if (!line.contains("watch=1")) {
            String list = list(members, true);
            Kit.write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + list.length() + "\r\n\r\n" + list);
            return true;
        }
        Watch watch = new Watch(socket);
        synchronized (this) {
            Kit.write(watch.out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            boolean isUpToDate = line.contains("from=" + revision + " ");
            watch.send((isUpToDate ? list(Map.of(), false) : list(members, true)) + "\n");
            watches.add(watch);
        }
        while (in.read() >= 0) {
            // The node sends nothing more on a watch.
        }
        watches.remove(watch);
        return true;
    }

    private boolean beat() throws InterruptedException {
        while (!server.isClosed()) {
            Kit.sleepMs(2000);
            watches.forEach(watch -> watch.send("\n"));
        }
        return true;
    }

    private String list(Map<String, String> entries, boolean complete) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", entries.values()) + "]}";
    }

    /** Tells a change of these engines; the phase is ready, draining or gone. */
    synchronized void tell(String phase, Engine... engines) {
        revision++;
        Map<String, String> changes = new LinkedHashMap<>();
        for (Engine engine : engines) {
            changes.put(engine.id, engine.member(phase));
            if (phase.equals("gone")) {
                members.remove(engine.id);
            } else {
                members.put(engine.id, engine.member(phase));
            }
        }
        Kit.record("discovery on port %d tells: %s %s, to %d watch(es)", port, String.join(" ", changes.keySet()), phase,
                watches.size());
        String text = list(changes, false) + "\n";
        watches.forEach(watch -> watch.send(text));
    }

    synchronized int openWatches() {
        return watches.size();
    }

    /** Goes down: watches end and calls are refused. */
    void stop() throws IOException {
        Kit.record("discovery on port %d goes down", port);
        server.close();
        for (Watch watch : new ArrayList<>(watches)) {
            watch.socket.close();
        }
        watches.clear();
    }
}
