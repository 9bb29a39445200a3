package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection.ConnectHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.PortUnreachableException;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Opens one {@link HttpClientConnection}, and tells local failures from those of the remote side. */
@EventLoopOnly
final class Connector {
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final Timers timers;
    private final ConnectHandler handler;

    Connector(Timers timers, ConnectHandler handler) {
        this.timers = timers;
        this.handler = handler;
    }

    /** Starts the connect. The handler is called once, at the latest after the timeout. */
    void connect(XnioIoThread thread, InetSocketAddress address, long timeoutNanos) {
        IoFuture<StreamConnection> future = thread.openStreamConnection(address, null, SOCKET_OPTIONS);
        // Cancelling a connect frees its descriptor. A connect to a host that has vanished would hold it for minutes.
        Timers.Timer timeout = timers.schedule(timeoutNanos, future::cancel);
        future.addNotifier(
                (result, attachment) -> thread.execute(() -> {
                    timeout.cancel();
                    onResult(result);
                }),
                null);
    }

    private void onResult(IoFuture<? extends StreamConnection> result) {
        if (result.getStatus() == IoFuture.Status.FAILED && isLocalFailure(result.getException())) {
            handler.onLocalFailure(result.getException());
        } else {
            handler.onConnected(result.getStatus() == IoFuture.Status.DONE ? toConnection(result) : null);
        }
    }

    /** Java throws these three exceptions if the remote side, or the network on the way to it, refuses the connect. */
    private static boolean isLocalFailure(IOException cause) {
        return !(cause instanceof ConnectException
                || cause instanceof NoRouteToHostException
                || cause instanceof PortUnreachableException);
    }

    private HttpClientConnection toConnection(IoFuture<? extends StreamConnection> result) {
        try {
            return new HttpClientConnection(result.get(), timers);
        } catch (IOException e) {
            return null;
        }
    }
}
