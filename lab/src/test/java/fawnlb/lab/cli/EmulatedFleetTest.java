package fawnlb.lab.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.DiscoveryClient;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.Mailbox;
import fawnlb.http.HttpClientConnection;
import fawnlb.lab.discovery.DiscoveryServer;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.Engine;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.rules.RuleChecker;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The stand-ins on real sockets, without a node between them. */
public class EmulatedFleetTest {
    private static final Engine.SlowStartProfile SLOW_START =
            new Engine.SlowStartProfile(0.36, 8_900_000_000L, 4, 3_000_000_000L);
    private static final EngineProfile FAST_PROFILE =
            new EngineProfile("full-rate", 40, 20, 100_000, 2048, 1, 0.01, 1_000_000, 1, 0, 0);

    private final RuleChecker rules = new RuleChecker(6, 750_000_000);
    private XnioWorker worker;
    private EventLoopTimers timers;

    @Before
    public void createWorker() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        timers = new EventLoopTimers(worker.getIoThread());
    }

    @After
    public void shutDownWorker() {
        worker.shutdownNow();
    }

    private <T> T runOnIoThread(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        worker.getIoThread().execute(task);
        return task.get(10, TimeUnit.SECONDS);
    }

    private LoadGenerator startLoad(EngineServer engine, List<ArrivalPlan.Turn> turns) throws Exception {
        return runOnIoThread(() -> {
            LoadGenerator generator =
                    new LoadGenerator(worker.getIoThread(), timers, rules, Map.of("n0", engine.address()), 1, 1);
            generator.start(turns);
            return generator;
        });
    }

    private void awaitCondition(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!runOnIoThread(holds)) {
            assertTrue("never came", System.nanoTime() < end);
        }
    }

    private static ArrivalPlan.Turn turn(int number, int out) {
        return new ArrivalPlan.Turn(0, number, 3, 100, 50, out, 5000, 0);
    }

    @Test
    public void engineServesAllTurnsInTime() throws Exception {
        EngineServer engine = runOnIoThread(
                () -> new EngineServer("a", FAST_PROFILE, ApiFormat.CHAT, SLOW_START, 0, worker, timers, rules));
        LoadGenerator generator = startLoad(engine, List.of(turn(1, 9), turn(2, 1), turn(3, 40)));
        awaitCondition(() -> generator.outcomeTotals().get(LoadGenerator.TurnOutcome.IN_TIME) == 3);
        assertEquals(Map.of(), rules.violations());
        assertEquals(3, generator.attemptCount());
    }

    @Test
    public void clientsRetryThreeTimesWhenTheEngineDrainsOrIsGone() throws Exception {
        for (boolean gone : new boolean[] {false, true}) {
            EngineServer engine = runOnIoThread(
                    () -> new EngineServer("a", FAST_PROFILE, ApiFormat.CHAT, SLOW_START, 0, worker, timers, rules));
            runOnIoThread(() -> {
                if (gone) {
                    engine.crash();
                } else {
                    engine.drain();
                }
                return null;
            });
            ArrivalPlan.Turn once = new ArrivalPlan.Turn(0, 1, 3, 100, 50, 5, 200, 0);
            LoadGenerator generator = startLoad(engine, List.of(once));
            awaitCondition(() -> generator.openTurns() == 0);
            assertEquals(4, generator.attemptCount());
            assertEquals(1, (int) generator
                    .outcomeTotals()
                    .get(gone ? LoadGenerator.TurnOutcome.TIMED_OUT : LoadGenerator.TurnOutcome.REJECTED));
        }
    }

    @Test
    public void clientsTimeOutOnAnUnreachableEngine() throws Exception {
        EngineServer engine = runOnIoThread(
                () -> new EngineServer("a", FAST_PROFILE, ApiFormat.CHAT, SLOW_START, 0, worker, timers, rules));
        runOnIoThread(() -> {
            engine.becomeUnreachable();
            return null;
        });
        LoadGenerator generator = startLoad(engine, List.of(new ArrivalPlan.Turn(0, 1, 3, 100, 50, 5, 100, 0)));
        awaitCondition(() -> generator.openTurns() == 0);
        assertEquals(1, (int) generator.outcomeTotals().get(LoadGenerator.TurnOutcome.TIMED_OUT));
    }

    @Test
    public void unreachableEngineAcceptsNoConnectionUntilRestarted() throws Exception {
        EngineServer engine = runOnIoThread(
                () -> new EngineServer("a", FAST_PROFILE, ApiFormat.CHAT, SLOW_START, 0, worker, timers, rules));
        BlockingQueue<Boolean> opened = new LinkedBlockingQueue<>();
        for (boolean back : new boolean[] {false, true}) {
            runOnIoThread(() -> {
                if (back) {
                    engine.restart();
                } else {
                    engine.becomeUnreachable();
                }
                HttpClientConnection.connect(
                        worker.getIoThread(), timers, engine.address(), 300_000_000, c -> opened.add(c != null));
                return null;
            });
            assertEquals(back, opened.poll(10, TimeUnit.SECONDS));
        }
    }

    /** What a node hears of the roster: the whole list, a change, its end, and a lower revision after its return. */
    @Test
    public void discoveryServerSendsListsDeltasAndFailures() throws Exception {
        BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
        DiscoveredEndpoint a =
                new DiscoveredEndpoint("s-0000000a", "127.0.0.1", 1, "z", "k", 0, EndpointPhase.READY, 1, 0);
        DiscoveredEndpoint b =
                new DiscoveredEndpoint("s-0000000b", "127.0.0.1", 2, "z", "k", 0, EndpointPhase.READY, 1, 0);
        DiscoveryServer server = runOnIoThread(() -> {
            DiscoveryServer made = new DiscoveryServer(List.of("n0"), 40, 0, worker, timers, rules);
            made.replaceList(41, List.of(a, b));
            return made;
        });
        InetSocketAddress address = server.address("n0");
        DiscoveryClient discovery = new DiscoveryClient(
                worker.getIoThread(),
                timers,
                new Mailbox(worker.getIoThread(), 100),
                address,
                (kind, list) -> notifications.add(kind
                        + (list == null
                                ? ""
                                : " " + list.revision() + " " + list.endpoints().size())));
        discovery.startFromCachedList(new EndpointList(0, true, List.of()));
        discovery.watchEndpoints();
        assertEquals("CACHED 0 0", notifications.poll(10, TimeUnit.SECONDS));
        assertEquals("FULL 41 2", notifications.poll(10, TimeUnit.SECONDS));
        runOnIoThread(() -> {
            server.applyChanges(
                    new DiscoveredEndpoint(a.id(), a.host(), a.port(), "z", "k", 0, EndpointPhase.DRAINING, 1, 0));
            return null;
        });
        assertEquals("DELTA 42 1", notifications.poll(10, TimeUnit.SECONDS));
        runOnIoThread(() -> {
            server.stopServing();
            return null;
        });
        assertEquals(EndpointUpdateKind.FAILED.name(), notifications.poll(10, TimeUnit.SECONDS));
        discovery.watchEndpoints();
        assertEquals(EndpointUpdateKind.FAILED.name(), notifications.poll(10, TimeUnit.SECONDS));
        runOnIoThread(() -> {
            server.replaceList(3, List.of());
            server.resumeServing();
            return null;
        });
        discovery.watchEndpoints();
        assertEquals("FULL 3 0", notifications.poll(10, TimeUnit.SECONDS));
    }
}
