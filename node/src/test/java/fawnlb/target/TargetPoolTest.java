package fawnlb.target;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.actor.IoTimers;
import fawnlb.decision.Balancer.Phase;
import fawnlb.dialect.Dialect;
import fawnlb.flow.Ask;
import fawnlb.flow.Source;
import fawnlb.flow.Targets;
import fawnlb.stream.Ending;
import fawnlb.stream.Rules;
import fawnlb.stream.Streams;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

public class TargetPoolTest {
    private static final int LIVES = 50;

    /** Long days replace targets all the time: one that left with a forward on its way was kept for good. */
    @Test
    public void aTargetThatLeavesWithAForwardOnItsWayIsForgotten() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            XnioIoThread thread = worker.getIoThread();
            Streams streams = new Streams(Rules.standard());
            TargetPool pool = new TargetPool(thread, new IoTimers(thread),
                    new TargetPool.Limits(250_000_000, 1_000_000_000, 1, 50, List.of()), streams);
            CountDownLatch ended = new CountDownLatch(LIVES);
            Targets.Report report = new Targets.Report() {
                @Override
                public void started(Source source) { }

                @Override
                public void rejected(Source source) { }

                @Override
                public void parked() { }

                @Override
                public void ended(Ending ending, long kept, List<Double> load) {
                    ended.countDown();
                }
            };
            thread.execute(() -> {
                for (int id = 1; id <= LIVES; id++) {
                    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
                    pool.place(id, address, 0, Phase.READY, Dialect.CHAT);
                    Ask ask = new Ask(0, 0, 1, 0, 1_000_000_000, 1, 0, 1, false, new Parcel(Dialect.CHAT, "/", "i" + id, true,
                            new byte[2], null, new Parcel.Tally(false)));
                    pool.forward(id, ask, 1_000_000_000, true, report);
                    pool.place(id, address, 0, Phase.GONE, Dialect.CHAT);
                }
            });
            assertTrue(ended.await(10, TimeUnit.SECONDS));
            CompletableFuture<Integer> kept = new CompletableFuture<>();
            thread.execute(() -> kept.complete(streams.figures().size()));
            assertEquals(0, (int) kept.get(10, TimeUnit.SECONDS));
        } finally {
            worker.shutdownNow();
        }
    }
}
