package fawnlb.client;

import fawnlb.actor.IoTurn;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** The sockets on which a node accepts its clients. */
public final class Listeners {
    /** XNIO's accepting thread has heard by then that it is to stop. */
    private static final long HEARD_MS = 20;
    /** A connection is handed over in a task, which may leave one more task behind. */
    private static final int TURNS = 2;

    private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();

    public void add(AcceptingChannel<StreamConnection> server) {
        servers.add(server);
    }

    /** Where they listen, in the order in which they were added. */
    public InetSocketAddress address(int which) {
        return servers.get(which).getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Accepts nobody any more, and closes when those that were accepted have been handed to the I/O thread. XNIO accepts on
     * a thread of its own; closed earlier, it logs a stack trace for each task that is still to come, and some hundred of
     * these had the I/O thread of half a core stand still for a second.
     */
    public void close(Executor thread) throws InterruptedException {
        servers.forEach(AcceptingChannel::suspendAccepts);
        for (int turn = 0; turn < TURNS; turn++) {
            Thread.sleep(HEARD_MS);
            IoTurn.take(thread, () -> null);
        }
        closeNow();
    }

    /** Closes whatever is still to be handed over. */
    public void closeNow() {
        servers.forEach(IoUtils::safeClose);
    }
}
