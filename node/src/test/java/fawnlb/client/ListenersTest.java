package fawnlb.client;

import static org.junit.Assert.assertEquals;

import fawnlb.LogLines;
import fawnlb.actor.IoTurn;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

public class ListenersTest {
    /** On r9e4702 some 250 lines of it in a planned end, each with a stack trace, on half a core. */
    @Test
    public void closingHandsOverWhoWasAcceptedAndLogsNoFaults() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        List<Socket> clients = new ArrayList<>();
        try (LogLines log = new LogLines("org.xnio.listener")) {
            List<StreamConnection> handed = new CopyOnWriteArrayList<>();
            AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    ChannelListeners.<StreamConnection>openListenerAdapter(handed::add), OptionMap.EMPTY);
            server.resumeAccepts();
            Listeners listeners = new Listeners();
            listeners.add(server);
            CountDownLatch busy = new CountDownLatch(1);
            worker.getIoThread().execute(() -> await(busy));
            for (int i = 0; i < 50; i++) {
                clients.add(new Socket(listeners.address(0).getAddress(), listeners.address(0).getPort()));
            }
            // The I/O thread comes to what was accepted when it is asked for its turn, or when the listeners have closed.
            listeners.close(task -> {
                worker.getIoThread().execute(task);
                busy.countDown();
            });
            busy.countDown();
            IoTurn.take(worker.getIoThread(), () -> null);
            IoTurn.take(worker.getIoThread(), () -> null);
            assertEquals(List.of(), log.lines());
        } finally {
            worker.shutdownNow();
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
