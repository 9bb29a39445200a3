package fawnlb.discovery;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.EventLoopCall;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ManualTimers;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A discovery client on a clock that the test moves, and a discovery whose responses the test writes, byte for byte.
 */
final class DiscoveryHarness implements Closeable {
    static final String FULL_LIST_LINE = "{\"revision\":3,\"complete\":true,\"members\":[]}\n";

    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private final BlockingQueue<EndpointUpdateKind> receivedUpdates = new LinkedBlockingQueue<>();
    /** Used on the I/O thread alone. */
    private final ManualTimers timers = new ManualTimers(0);

    private final XnioWorker worker;
    private final ServerSocket server;
    private final DiscoveryClient client;
    private Socket call;

    DiscoveryHarness() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = openServer();
        client = new DiscoveryClient(
                worker.getIoThread(),
                timers,
                new Mailbox(Runnable::run, 99),
                addressOf(server),
                (kind, list) -> receivedUpdates.add(kind));
    }

    @Override
    public void close() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    static ServerSocket openServer() throws IOException {
        ServerSocket opened = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        opened.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return opened;
    }

    static InetSocketAddress addressOf(ServerSocket server) {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    DiscoveryClient client() {
        return client;
    }

    /** The connection of the call that was accepted last. */
    Socket call() {
        return call;
    }

    private void runOnIoThread(Runnable task) throws InterruptedException {
        EventLoopCall.callAndWait(worker.getIoThread(), () -> {
            task.run();
            return null;
        });
    }

    void startWatch() throws InterruptedException {
        runOnIoThread(client::watchEndpoints);
    }

    void startFetch() throws InterruptedException {
        runOnIoThread(client::fetchEndpoints);
    }

    void changeAddress(ServerSocket newServer) throws InterruptedException {
        runOnIoThread(() -> client.changeAddress(addressOf(newServer)));
    }

    /** Starts a watch, accepts it, and answers with {@link #FULL_LIST_LINE}. */
    void openWatch() throws IOException, InterruptedException {
        startWatch();
        acceptCall();
        answerWithFullList();
    }

    /** Accepts the next call, and returns the first line of its request. */
    String acceptCall() throws IOException {
        return acceptCall(server);
    }

    String acceptCall(ServerSocket from) throws IOException {
        call = from.accept();
        call.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        BufferedReader request =
                new BufferedReader(new InputStreamReader(call.getInputStream(), StandardCharsets.ISO_8859_1));
        String firstLine = request.readLine();
        while (!request.readLine().isEmpty()) {
            // Headers are not looked at.
        }
        return firstLine;
    }

    void write(String text) throws IOException {
        call.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void writeHead() throws IOException {
        write(RESPONSE_HEAD);
    }

    void writeChunk(String text) throws IOException {
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    void writeLastChunk() throws IOException {
        write("0\r\n\r\n");
    }

    void answerWithFullList() throws IOException, InterruptedException {
        writeHead();
        writeChunk(FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, awaitUpdate());
    }

    void advanceTime(long nanos) throws InterruptedException {
        runOnIoThread(() -> timers.advance(nanos));
    }

    /** Waits until the I/O thread has done what it is at. */
    void awaitIoThread() throws InterruptedException {
        runOnIoThread(() -> {});
    }

    /** The next update, which may take a moment to come over the socket; null if none comes. */
    EndpointUpdateKind awaitUpdate() throws InterruptedException {
        return receivedUpdates.poll(10, TimeUnit.SECONDS);
    }

    /** The next update if it has already come; null otherwise. */
    EndpointUpdateKind pollUpdate() {
        return receivedUpdates.poll();
    }

    void missHeartbeat() throws InterruptedException {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        assertEquals(EndpointUpdateKind.FAILED, pollUpdate());
    }
}
