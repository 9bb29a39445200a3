package fawnlb.client;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A server that passes each request's exchange to a handler on the I/O thread. */
final class ExchangeServer implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Undertow server;

    /** Starts a server. The handler may send the response later. */
    ExchangeServer(Consumer<HttpServerExchange> handler) {
        server = Undertow.builder()
                .setIoThreads(1)
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(exchange)))
                .build();
        server.start();
    }

    Socket connect() throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(READ_TIMEOUT_MS);
        return client;
    }

    static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        server.stop();
    }
}
