package fawnlb.lab.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.actor.IoTimers;
import fawnlb.actor.Mailbox;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Phase;
import fawnlb.discovery.Discovery;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
import fawnlb.http.Connection;
import fawnlb.lab.engine.Engine;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.engine.Kind;
import fawnlb.lab.engine.Speech;
import fawnlb.lab.load.Clients;
import fawnlb.lab.load.Plan;
import fawnlb.lab.roster.RosterServer;
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
public class SmallFleetTest {
    private static final Engine.Cold COLD = new Engine.Cold(0.36, 8_900_000_000L, 4, 3_000_000_000L);
    private static final Kind FAST = new Kind("full-rate", 40, 20, 100_000, 2048, 1, 0.01, 1_000_000, 1, 0, 0);

    private final RuleChecker rules = new RuleChecker(6, 750_000_000);
    private XnioWorker worker;
    private IoTimers timers;

    @Before
    public void begin() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        timers = new IoTimers(worker.getIoThread());
    }

    @After
    public void end() {
        worker.shutdownNow();
    }

    private <T> T on(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        worker.getIoThread().execute(task);
        return task.get(10, TimeUnit.SECONDS);
    }

    private Clients play(EngineServer box, List<Plan.Turn> turns) throws Exception {
        return on(() -> {
            Clients clients = new Clients(worker.getIoThread(), timers, rules, Map.of("n0", box.address()), 1, 1);
            clients.play(turns);
            return clients;
        });
    }

    private void until(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!on(holds)) {
            assertTrue("never came", System.nanoTime() < end);
        }
    }

    private static Plan.Turn turn(int number, int out) {
        return new Plan.Turn(0, number, 3, 100, 50, out, 5000, 0);
    }

    @Test
    public void aBoxServesItsClientsWhole() throws Exception {
        EngineServer box = on(() -> new EngineServer("a", FAST, Speech.CHAT, COLD, 0, worker, timers, rules));
        Clients clients = play(box, List.of(turn(1, 9), turn(2, 1), turn(3, 40)));
        until(() -> clients.totals().get(Clients.End.IN_TIME) == 3);
        assertEquals(Map.of(), rules.broken());
        assertEquals(3, clients.tries());
    }

    @Test
    public void clientsTryFourTimesWhereABoxDrainsOrIsGone() throws Exception {
        for (boolean gone : new boolean[] {false, true}) {
            EngineServer box = on(() -> new EngineServer("a", FAST, Speech.CHAT, COLD, 0, worker, timers, rules));
            on(() -> {
                if (gone) {
                    box.die();
                } else {
                    box.drain();
                }
                return null;
            });
            Plan.Turn once = new Plan.Turn(0, 1, 3, 100, 50, 5, 200, 0);
            Clients clients = play(box, List.of(once));
            until(() -> clients.open() == 0);
            assertEquals(4, clients.tries());
            assertEquals(1, (int) clients.totals().get(gone ? Clients.End.GIVEN_UP : Clients.End.REFUSED));
        }
    }

    @Test
    public void aSilentBoxIsLeftByItsClients() throws Exception {
        EngineServer box = on(() -> new EngineServer("a", FAST, Speech.CHAT, COLD, 0, worker, timers, rules));
        on(() -> {
            box.vanish();
            return null;
        });
        Clients clients = play(box, List.of(new Plan.Turn(0, 1, 3, 100, 50, 5, 100, 0)));
        until(() -> clients.open() == 0);
        assertEquals(1, (int) clients.totals().get(Clients.End.GIVEN_UP));
    }

    @Test
    public void aBoxThatVanishedTakesNoNewConnectionUntilItIsBack() throws Exception {
        EngineServer box = on(() -> new EngineServer("a", FAST, Speech.CHAT, COLD, 0, worker, timers, rules));
        BlockingQueue<Boolean> opened = new LinkedBlockingQueue<>();
        for (boolean back : new boolean[] {false, true}) {
            on(() -> {
                if (back) {
                    box.restart();
                } else {
                    box.vanish();
                }
                Connection.open(worker.getIoThread(), timers, box.address(), 300_000_000, c -> opened.add(c != null));
                return null;
            });
            assertEquals(back, opened.poll(10, TimeUnit.SECONDS));
        }
    }

    /** What a node hears of the roster: the whole list, a change, its end, and a lower revision after its return. */
    @Test
    public void theRosterTellsWhatItWasTold() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        Member a = new Member("s-0000000a", "127.0.0.1", 1, "z", "k", 0, Phase.READY, 1, 0);
        Member b = new Member("s-0000000b", "127.0.0.1", 2, "z", "k", 0, Phase.READY, 1, 0);
        RosterServer roster = on(() -> {
            RosterServer made = new RosterServer(List.of("n0"), 40, 0, worker, timers, rules);
            made.replace(41, List.of(a, b));
            return made;
        });
        InetSocketAddress address = roster.address("n0");
        Discovery discovery = new Discovery(
                worker.getIoThread(),
                timers,
                new Mailbox(worker.getIoThread(), 100),
                address,
                (kind, list) -> heard.add(kind
                        + (list == null
                                ? ""
                                : " " + list.revision() + " " + list.members().size())));
        discovery.known(new MemberList(0, true, List.of()));
        discovery.subscribe();
        assertEquals("CACHED 0 0", heard.poll(10, TimeUnit.SECONDS));
        assertEquals("FULL 41 2", heard.poll(10, TimeUnit.SECONDS));
        on(() -> {
            roster.change(new Member(a.id(), a.host(), a.port(), "z", "k", 0, Phase.DRAINING, 1, 0));
            return null;
        });
        assertEquals("DELTA 42 1", heard.poll(10, TimeUnit.SECONDS));
        on(() -> {
            roster.down();
            return null;
        });
        assertEquals(ListKind.FAILED.name(), heard.poll(10, TimeUnit.SECONDS));
        discovery.subscribe();
        assertEquals(ListKind.FAILED.name(), heard.poll(10, TimeUnit.SECONDS));
        on(() -> {
            roster.replace(3, List.of());
            roster.up();
            return null;
        });
        discovery.subscribe();
        assertEquals("FULL 3 0", heard.poll(10, TimeUnit.SECONDS));
    }
}
