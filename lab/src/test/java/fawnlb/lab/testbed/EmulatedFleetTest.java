package fawnlb.lab.testbed;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.http.HttpClientConnection;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.engine.EngineSpec;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.load.TurnOutcome;
import fawnlb.lab.rules.RuleChecker;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;

/** Emulated clients and an emulated engine on real sockets, without a node between them. */
public class EmulatedFleetTest {
    private static final EngineProfile FAST_PROFILE =
            new EngineProfile("full-rate", 40, 20, 100_000, 2048, 1, 0.01, 1_000_000, 1, 0, 0);
    private static final long CONDITION_TIMEOUT_NANOS = 10_000_000_000L;
    private static final long CONNECT_TIMEOUT_NANOS = 300_000_000;

    @Rule
    public final IoThread io = new IoThread();

    private final RuleChecker rules = new RuleChecker(6, 750_000_000);
    private EngineServer engine;

    @Before
    public void startEngine() throws Exception {
        engine = createEngine();
    }

    private EngineServer createEngine() throws Exception {
        EngineSpec spec = new EngineSpec("a", FAST_PROFILE, ApiFormat.CHAT, Testbed.SLOW_START, 0);
        return io.call(() -> new EngineServer(spec, io.worker(), io.timers(), rules));
    }

    private LoadGenerator startLoad(ArrivalPlan.Turn... turns) throws Exception {
        return io.call(() -> {
            LoadGenerator generator =
                    new LoadGenerator(io.thread(), io.timers(), rules, Map.of("n0", engine.address()), 1, 1);
            generator.start(List.of(turns));
            return generator;
        });
    }

    private void awaitCondition(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + CONDITION_TIMEOUT_NANOS;
        while (!io.call(holds)) {
            assertTrue("never came", System.nanoTime() < end);
        }
    }

    private static ArrivalPlan.Turn turn(int session, int outputTokens, int timeoutMillis) {
        return new ArrivalPlan.Turn(0, session, 3, 100, 50, outputTokens, timeoutMillis, 0);
    }

    @Test
    public void engineServesAllTurnsInTime() throws Exception {
        LoadGenerator generator = startLoad(turn(1, 9, 5000), turn(2, 1, 5000), turn(3, 40, 5000));
        awaitCondition(() -> generator.statistics().total(TurnOutcome.IN_TIME) == 3);
        assertEquals(Map.of(), rules.violations());
        assertEquals(3, generator.statistics().attemptCount());
    }

    @Test
    public void clientsRetryThreeTimesWhenTheEngineDrainsOrIsGone() throws Exception {
        io.run(engine::drain);
        assertFourAttemptsEndIn(TurnOutcome.REJECTED);
        engine = createEngine();
        io.run(engine::crash);
        assertFourAttemptsEndIn(TurnOutcome.TIMED_OUT);
    }

    private void assertFourAttemptsEndIn(TurnOutcome outcome) throws Exception {
        LoadGenerator generator = startLoad(turn(1, 5, 200));
        awaitCondition(() -> generator.statistics().openTurns() == 0);
        assertEquals(4, generator.statistics().attemptCount());
        assertEquals(1, generator.statistics().total(outcome));
    }

    @Test
    public void clientsTimeOutOnAnUnreachableEngine() throws Exception {
        io.run(engine::becomeUnreachable);
        LoadGenerator generator = startLoad(turn(1, 5, 100));
        awaitCondition(() -> generator.statistics().openTurns() == 0);
        assertEquals(1, generator.statistics().total(TurnOutcome.TIMED_OUT));
    }

    @Test
    public void unreachableEngineAcceptsNoConnectionUntilRestarted() throws Exception {
        BlockingQueue<Boolean> opened = new LinkedBlockingQueue<>();
        io.run(() -> {
            engine.becomeUnreachable();
            connect(opened);
        });
        assertEquals(false, opened.poll(10, TimeUnit.SECONDS));
        io.run(() -> {
            engine.restart();
            connect(opened);
        });
        assertEquals(true, opened.poll(10, TimeUnit.SECONDS));
    }

    private void connect(BlockingQueue<Boolean> opened) {
        HttpClientConnection.connect(
                io.thread(),
                io.timers(),
                engine.address(),
                CONNECT_TIMEOUT_NANOS,
                connection -> opened.add(connection != null));
    }
}
