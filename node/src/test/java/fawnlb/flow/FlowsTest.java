package fawnlb.flow;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.config.SettingsParser;
import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.Ended;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Send;
import fawnlb.metrics.Metrics;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The core alone: a module that does as told, backends and a clock by hand. */
public class FlowsTest {
    private static final long MS = 1_000_000;
    private final List<String> seen = new ArrayList<>();
    private final List<Balancer.Event> events = new ArrayList<>();
    private final List<Backends.Report> reports = new ArrayList<>();
    private final List<Long> sendBys = new ArrayList<>();
    private final List<Long> untils = new ArrayList<>();
    private final Hand hand = new Hand();
    /** The kind of event at which the module throws. */
    private Class<?> faulty;

    private Balancer.Sink module;
    private Flows flows = flows("");

    private Flows flows(String classes) {
        return new Flows(
                new SettingsParser("limits.most-tries=3\nlimits.most-held=2\n" + classes).settings(),
                1,
                (settings, seed, sink) -> {
                    module = sink;
                    return (now, event) -> {
                        events.add(event);
                        if (event.getClass() == faulty) {
                            throw new IllegalStateException("meant to fail");
                        }
                    };
                },
                new Mailbox(Runnable::run, 100),
                hand,
                new ByHand(),
                new NoRoster());
    }

    /** A clock that moves when told. */
    private static final class Hand implements Timers {
        private final List<Object[]> due = new ArrayList<>();
        private long now = 1000 * MS;
        private long eventAge;

        @Override
        public long eventAge() {
            return eventAge;
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long nanos, Runnable task) {
            Object[] entry = {now + nanos, task};
            due.add(entry);
            return () -> due.remove(entry);
        }

        void pass(long nanos) {
            now += nanos;
            for (Object[] entry : List.copyOf(due)) {
                if ((Long) entry[0] <= now && due.remove(entry)) {
                    ((Runnable) entry[1]).run();
                }
            }
        }
    }

    private final class ByHand implements Backends {
        @Override
        public Attempt attempt(long backend, Ask ask, long until, long sendBy, boolean again, Report report) {
            reports.add(report);
            sendBys.add(sendBy);
            untils.add(until);
            int number = reports.size();
            seen.add("forward " + backend);
            return end -> {
                seen.add("stop " + number + ' ' + end.word());
                report.ended(Ending.of(end), 0, List.of());
            };
        }

        @Override
        public void probe(long backend, ProbeReport report) {
            report.probed(Outcome.SERVED, List.of(2.0));
        }
    }

    private static final class NoRoster implements Roster {
        @Override
        public void subscribe() {}

        @Override
        public void fetch() {}
    }

    private final class Client implements ClientConnection {
        boolean there = true;

        @Override
        public boolean present() {
            return there;
        }

        @Override
        public void streaming(Source source) {
            seen.add("streaming");
        }

        @Override
        public void refused(Ending cause, long retryAfter) {
            seen.add("refused " + (cause == null ? null : cause.word()) + ' ' + retryAfter / MS);
        }

        @Override
        public void failed(Ending cause) {
            seen.add("failed " + (cause == null ? null : cause.word()));
        }
    }

    private static final class Stream implements Source {
        @Override
        public void into(Sink sink) {
            sink.chunk(ByteBuffer.allocate(1));
        }

        @Override
        public void more() {}

        @Override
        public void lags(int left) {}

        @Override
        public void closed() {}
    }

    private Flows.Ticket take() {
        return take(new Client());
    }

    private Flows.Ticket take(Client client) {
        return flows.take(new Ask(0, 0, 1, 0, 100 * MS, 1, 0, 1, false, null), client);
    }

    private Outcome lastOutcome() {
        return ((Ended) events.get(events.size() - 1)).outcome();
    }

    @Test
    public void aModuleThatSaysNothingCostsNoAnswer() {
        take();
        hand.pass(116 * MS);
        assertEquals(List.of("refused null 1000"), seen);
        assertTrue(events.get(1) instanceof Balancer.ClientGone);
        assertEquals(0, flows.open());
    }

    @Test
    public void anAttemptIsStoppedAtTheDeadlineAndTheAnswerIsGivenOnce() {
        flows = flows("profiles.count=1\nprofiles.0.effect=safe");
        take();
        module.act(new Send(1, 7, 0));
        hand.pass(90 * MS);
        assertEquals(Outcome.TIMEOUT, lastOutcome());
        module.act(new Balancer.Refuse(1, 5 * MS));
        module.act(new Balancer.Fail(1));
        hand.pass(50 * MS);
        assertEquals(List.of("forward 7", "stop 1 out-of-time", "refused out-of-time 5"), seen);
        assertEquals(0, flows.open());
    }

    @Test
    public void neverTwoAttemptsAtOnceNorMoreThanAllowedNorOneForAFlowThatIsOver() {
        take();
        module.act(new Send(1, 7, 0));
        module.act(new Send(1, 8, 0));
        assertEquals(Outcome.NEVER_SENT, lastOutcome());
        reports.get(0).ended(Ending.of(End.FAILED), 0, List.of());
        module.act(new Send(1, 8, 0));
        reports.get(1).ended(Ending.of(End.FAILED), 0, List.of());
        module.act(new Send(1, 9, 0));
        assertEquals(Outcome.NEVER_SENT, lastOutcome());
        module.act(new Balancer.Fail(1));
        module.act(new Send(1, 9, 0));
        assertTrue(((Ended) events.get(events.size() - 1)).over());
        assertEquals(List.of("forward 7", "forward 8", "failed failed"), seen);
    }

    /** It has 100 ms from its arrival, of which the core keeps 10; a wait of up to 100 ms counts for nothing. */
    @Test
    public void deadlineRunsFromArrivalWhereRequestWaitedForBusyThread() {
        hand.eventAge = 130 * MS;
        take();
        module.act(new Send(1, 7, 0));
        assertEquals(List.of(hand.now + 60 * MS), untils);
    }

    @Test
    public void aStreamHasNoDeadlineAndItsEndIsToldOnce() {
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).started(new Stream());
        hand.pass(1000 * MS);
        module.act(new Balancer.Refuse(1, 0));
        reports.get(0).ended(Ending.of(End.WHOLE), 0, List.of());
        reports.get(0).ended(Ending.of(End.BROKEN), 0, List.of());
        assertEquals(List.of("forward 7", "streaming"), seen);
        assertEquals(1, events.stream().filter(e -> e instanceof Ended).count());
        assertEquals(0, flows.open());
    }

    /** Requests that backends object to must not make a backend look failing, nor its answers look quick. */
    @Test
    public void aBackendsObjectionIsTheAnswerAndTellsTheModuleNothingOfTheBackend() {
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).rejected(new Stream());
        module.act(new Balancer.Cancel(1, 0));
        reports.get(0).ended(Ending.of(End.WHOLE), 0, List.of());
        assertEquals(List.of("forward 7", "streaming"), seen);
        assertTrue(events.get(1) instanceof Balancer.ClientGone);
        assertEquals(Outcome.CANCELLED, lastOutcome());
        assertEquals(0, flows.open());
    }

    /**
     * Asked by the backend when the request is about to be written: what was decided on may be of no use to anybody by
     * then.
     */
    @Test
    public void anAttemptIsWantedWhileItsClientIsThereAndHasNoAnswer() {
        Client client = new Client();
        take(client);
        module.act(new Send(1, 7, 0));
        assertTrue(reports.get(0).wanted());
        client.there = false;
        assertFalse(reports.get(0).wanted());
        client.there = true;
        module.act(new Balancer.Refuse(1, 0));
        assertFalse(reports.get(0).wanted());
    }

    @Test
    public void aClientThatLeavesIsOwedNothingAndItsAttemptIsCalledOff() {
        for (boolean streaming : new boolean[] {false, true}) {
            seen.clear();
            reports.clear();
            Flows.Ticket ticket = take();
            long id = streaming ? 2 : 1;
            module.act(new Send(id, 7, 0));
            if (streaming) {
                reports.get(0).started(new Stream());
            }
            ticket.gone();
            ticket.gone();
            assertEquals(
                    streaming
                            ? List.of("forward 7", "streaming", "stop 1 reader-left")
                            : List.of("forward 7", "stop 1 reader-left"),
                    seen);
            assertEquals(0, flows.open());
        }
    }

    @Test
    public void thereIsRoomForSoManyFlows() {
        assertNotNull(take());
        assertNotNull(take());
        assertNull(take());
        module.act(new Balancer.Refuse(1, 0));
        assertNotNull(take());
    }

    @Test
    public void probesAndTimersComeBackToTheModule() {
        module.act(new Balancer.Probe(4));
        assertEquals(List.of(2.0), ((Balancer.Probed) events.get(0)).load());
        module.act(new Balancer.Timer(hand.now() + 5 * MS, 9));
        hand.pass(4 * MS);
        assertEquals(1, events.size());
        hand.pass(MS);
        assertEquals(new Balancer.TimerDue(9), events.get(1));
    }

    /** A stream whose reader has stopped is no work for its backend: the module counts it no more, and hears no end. */
    @Test
    public void aParkedStreamIsOverForTheModuleAndNotForItsClient() {
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).started(new Stream());
        hand.pass(0);
        reports.get(0).parked();
        reports.get(0).parked();
        hand.pass(0);
        int told = events.size();
        assertEquals(Outcome.CANCELLED, lastOutcome());
        assertEquals(1, flows.open());
        reports.get(0).ended(Ending.of(End.WHOLE), 0, List.of());
        hand.pass(0);
        assertEquals(told, events.size());
        assertEquals(0, flows.open());
    }

    /** What nobody expected costs the flow that it strikes an answer at once, and no other flow anything. */
    @Test
    public void aFlowWhoseMessageFailsIsAnsweredAtOnce() {
        Object[][] cases = {
            {Balancer.Request.class, List.of("failed null")},
            {Ended.class, List.of("forward 7", "failed failed")},
            {Balancer.Started.class, List.of("forward 7", "streaming")}
        };
        for (Object[] row : cases) {
            seen.clear();
            faulty = (Class<?>) row[0];
            take();
            if (faulty != Balancer.Request.class) {
                module.act(new Send(((Balancer.Request) events.get(events.size() - 1)).id(), 7, 0));
                Backends.Report report = reports.get(reports.size() - 1);
                if (faulty == Ended.class) {
                    report.ended(Ending.of(End.FAILED), 0, List.of());
                } else {
                    report.started(null);
                    report.ended(Ending.of(End.WHOLE), 0, List.of());
                }
            }
            assertEquals(row[0].toString(), row[1], seen);
            assertEquals(0, flows.open());
        }
    }

    /** A node that ends is given little time: on r9e4702 a stream that it took after 0.9 s was cut by SIGKILL. */
    @Test
    public void aNodeThatEndsTakesNoFlowAndKeepsThoseItHas() {
        Flows.Ticket before = take();
        flows.takeNoMore();
        assertNull(take());
        assertNotNull(before);
        assertEquals(1, flows.open());
    }

    /** A flow whose only attempt ends so, and of which the module says nothing more. */
    private void lastCallAfter(End end) {
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).ended(Ending.of(end), 0, List.of());
        hand.pass(116 * MS);
    }

    /**
     * The module's own answer can come behind the last call where the thread is late; its client must not ask again.
     */
    @Test
    public void theLastCallFailsWhatMayHaveRunAndMayNotRunAgain() {
        lastCallAfter(End.BROKEN);
        assertEquals(List.of("forward 7", "failed broken-before-head"), seen);
    }

    @Test
    public void theLastCallRefusesWhatMayRunAgainOrNeverRan() {
        lastCallAfter(End.TURNED_AWAY);
        assertEquals(List.of("forward 7", "refused turned-away 1000"), seen);
        for (String effect : List.of("safe", "keyed\nprofiles.0.group=all")) {
            seen.clear();
            reports.clear();
            flows = flows("profiles.count=1\nprofiles.0.effect=" + effect);
            lastCallAfter(End.BROKEN);
            assertEquals(effect, List.of("forward 7", "refused broken-before-head 1000"), seen);
        }
    }

    @Test
    public void aRepeatOfAKeyedClassIsNotSentBehindItsWindow() {
        flows = flows(
                "profiles.count=1\nprofiles.0.effect=keyed\nprofiles.0.group=zone\nprofiles.0.window-ns=50000000");
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).ended(Ending.of(End.NOT_CONNECTED), 0, List.of());
        hand.pass(10 * MS);
        long ran = hand.now();
        module.act(new Send(1, 7, 0));
        hand.pass(10 * MS);
        reports.get(1).ended(Ending.of(End.BROKEN), 0, List.of());
        module.act(new Send(1, 8, 0));
        assertEquals(
                "counted from the first that may have run, less what the process may be held up for",
                List.of(Long.MAX_VALUE, Long.MAX_VALUE, ran + 50 * MS - Backends.MAX_HELD_UP),
                sendBys);
    }

    @Test
    public void refusalOfWhatMayHaveRunIsAnsweredAsFailedWhereTheClassForbidsIt() {
        long violations = Metrics.value(Metrics.Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows");
        flows = flows("profiles.count=1\nprofiles.0.effect=unsafe");
        take();
        module.act(new Send(1, 7, 0));
        reports.get(0).ended(Ending.of(End.BROKEN), 0, List.of());
        module.act(new Balancer.Refuse(1, 5));
        assertTrue(seen.toString(), seen.get(seen.size() - 1).startsWith("failed"));
        assertEquals(violations + 1, Metrics.value(Metrics.Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows"));
    }

    /** The process is killed 3.7 s after it was told to end, whatever the servers do that hang all the while. */
    @Test
    public void plannedEndAnswersInTimeWhatWaitsForServersThatHang() {
        for (String effect : new String[] {"safe", "unsafe"}) {
            seen.clear();
            reports.clear();
            flows = flows("profiles.count=1\nprofiles.0.effect=" + effect);
            flows.take(new Ask(0, 0, 1, 0, 7500 * MS, 1, 0, 1, false, null), new Client());
            module.act(new Send(1, 7, 0));
            flows.beginPlannedEnd();
            flows.take(new Ask(0, 0, 2, 0, 7500 * MS, 1, 0, 1, false, null), new Client());
            module.act(new Send(2, 8, 0));
            hand.pass(Flows.PLANNED_END - MS);
            assertEquals(List.of("forward 7", "forward 8"), seen);
            hand.pass(2 * MS);
            String answer = effect.equals("safe") ? "refused" : "failed";
            assertEquals(
                    seen.toString(),
                    2,
                    seen.stream().filter(line -> line.startsWith(answer)).count());
            assertEquals(0, flows.open());
        }
    }

    /**
     * A stall of the thread with thousands of messages waiting must not cost a change of membership, or the timer that
     * asks for it.
     */
    @Test
    public void fullMailboxMissesNoChangeOfMembershipNoTimerAndNoClientThatLeaves() {
        ArrayDeque<Runnable> executor = new ArrayDeque<>();
        Mailbox mailbox = new Mailbox(executor::add, 1);
        flows = new Flows(
                new SettingsParser("limits.most-tries=3\nlimits.most-held=2\n").settings(),
                1,
                (settings, seed, sink) -> {
                    module = sink;
                    return (now, event) -> events.add(event);
                },
                mailbox,
                hand,
                new ByHand(),
                new NoRoster());
        module.act(new Balancer.Timer(hand.now(), 3));
        Flows.Ticket ticket = take();
        mailbox.tell(() -> {});
        assertNotNull(ticket);
        flows.listed(new Balancer.Listed(Balancer.ListKind.DELTA, 1, List.of()));
        ticket.gone();
        hand.pass(1);
        while (!executor.isEmpty()) {
            executor.poll().run();
        }
        List<Class<?>> kinds = new ArrayList<>();
        events.forEach(event -> kinds.add(event.getClass()));
        assertEquals(
                List.of(
                        Balancer.Request.class,
                        Balancer.Listed.class,
                        Balancer.ClientGone.class,
                        Balancer.TimerDue.class),
                kinds);
    }
}
