package fawnlb.proxy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import fawnlb.config.SettingsParser;
import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The core alone: a module that does as told, backends and a clock by hand. */
public class RequestProxyTest {
    private static final long MS = 1_000_000;
    private final List<String> observed = new ArrayList<>();
    private final List<LoadBalancerEvent> events = new ArrayList<>();
    private final List<Backends.AttemptListener> attemptListeners = new ArrayList<>();
    private final List<Long> sendDeadlines = new ArrayList<>();
    private final List<Long> responseDeadlines = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    /** The kind of event at which the module throws. */
    private Class<?> failingEventType;

    private LoadBalancer.ActionSink actions;
    private RequestProxy proxy = createProxy("");

    private RequestProxy createProxy(String classSettings) {
        return new RequestProxy(
                new ProxyContext(
                        new SettingsParser("limits.most-tries=3\nlimits.most-held=2\n" + classSettings).parse(),
                        new Mailbox(Runnable::run, 100),
                        timers),
                1,
                (settings, seed, sink) -> {
                    actions = sink;
                    return (now, event) -> {
                        events.add(event);
                        if (event.getClass() == failingEventType) {
                            throw new IllegalStateException("meant to fail");
                        }
                    };
                },
                new RecordingBackends(),
                new IdleEndpointWatch());
    }

    /** A clock that moves when told. */
    private static final class ManualTimers implements Timers {
        private final List<Object[]> pending = new ArrayList<>();
        private long now = 1000 * MS;
        private long maxEventAgeNanos;

        @Override
        public long maxEventAgeNanos() {
            return maxEventAgeNanos;
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer schedule(long delayNanos, Runnable task) {
            Object[] entry = {now + delayNanos, task};
            pending.add(entry);
            return () -> pending.remove(entry);
        }

        void advance(long nanos) {
            now += nanos;
            for (Object[] entry : List.copyOf(pending)) {
                if ((Long) entry[0] <= now && pending.remove(entry)) {
                    ((Runnable) entry[1]).run();
                }
            }
        }
    }

    private final class RecordingBackends implements Backends {
        @Override
        public Attempt startAttempt(
                long backend,
                IncomingRequest request,
                long responseDeadline,
                long sendDeadline,
                boolean retryPossible,
                AttemptListener listener) {
            attemptListeners.add(listener);
            sendDeadlines.add(sendDeadline);
            responseDeadlines.add(responseDeadline);
            int number = attemptListeners.size();
            observed.add("forward " + backend);
            return end -> {
                observed.add("stop " + number + ' ' + end.label());
                listener.onAttemptEnded(AttemptEnd.of(end), 0, List.of());
            };
        }

        @Override
        public void checkHealth(long backend, HealthCheckListener listener) {
            listener.onHealthChecked(AttemptOutcome.SERVED, List.of(2.0));
        }
    }

    private static final class IdleEndpointWatch implements EndpointWatch {
        @Override
        public void watchEndpoints() {}

        @Override
        public void fetchEndpoints() {}
    }

    private final class RecordingClient implements ClientConnection {
        boolean connected = true;

        @Override
        public boolean isConnected() {
            return connected;
        }

        @Override
        public void streamResponse(ResponseSource source) {
            observed.add("streaming");
        }

        @Override
        public void sendRejection(AttemptEnd cause, long retryAfterNanos) {
            observed.add("refused " + (cause == null ? null : cause.label()) + ' ' + retryAfterNanos / MS);
        }

        @Override
        public void sendFailure(AttemptEnd cause) {
            observed.add("failed " + (cause == null ? null : cause.label()));
        }
    }

    private static final class SingleChunkSource implements ResponseSource {
        @Override
        public void streamTo(Sink sink) {
            sink.onChunk(ByteBuffer.allocate(1));
        }

        @Override
        public void requestNextChunk() {}

        @Override
        public void onUnsentBytes(int left) {}

        @Override
        public void onSinkClosed() {}
    }

    private RequestProxy.RequestHandle submit() {
        return submit(new RecordingClient());
    }

    private RequestProxy.RequestHandle submit(RecordingClient client) {
        return proxy.submit(new IncomingRequest(0, 0, 1, 0, 100 * MS, 1, 0, 1, false, null), client);
    }

    private AttemptOutcome lastReportedOutcome() {
        return ((AttemptEnded) events.get(events.size() - 1)).outcome();
    }

    @Test
    public void silentLoadBalancerLeavesRequestRejectedAtFinalDeadline() {
        submit();
        timers.advance(116 * MS);
        assertEquals(List.of("refused null 1000"), observed);
        assertTrue(events.get(1) instanceof LoadBalancerEvent.ClientDisconnected);
        assertEquals(0, proxy.openRequests());
    }

    @Test
    public void attemptStopsAtDeadlineAndClientIsAnsweredOnce() {
        proxy = createProxy("profiles.count=1\nprofiles.0.effect=safe");
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        timers.advance(90 * MS);
        assertEquals(AttemptOutcome.TIMEOUT, lastReportedOutcome());
        actions.perform(new LoadBalancerAction.RejectRequest(1, 5 * MS));
        actions.perform(new LoadBalancerAction.FailRequest(1));
        timers.advance(50 * MS);
        assertEquals(List.of("forward 7", "stop 1 out-of-time", "refused out-of-time 5"), observed);
        assertEquals(0, proxy.openRequests());
    }

    @Test
    public void concurrentExcessAndLateAttemptsAreNotSent() {
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        actions.perform(new StartAttempt(1, 8, 0));
        assertEquals(AttemptOutcome.NEVER_SENT, lastReportedOutcome());
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.BACKEND_ERROR), 0, List.of());
        actions.perform(new StartAttempt(1, 8, 0));
        attemptListeners.get(1).onAttemptEnded(AttemptEnd.of(EndReason.BACKEND_ERROR), 0, List.of());
        actions.perform(new StartAttempt(1, 9, 0));
        assertEquals(AttemptOutcome.NEVER_SENT, lastReportedOutcome());
        actions.perform(new LoadBalancerAction.FailRequest(1));
        actions.perform(new StartAttempt(1, 9, 0));
        assertTrue(((AttemptEnded) events.get(events.size() - 1)).requestFinished());
        assertEquals(List.of("forward 7", "forward 8", "failed failed"), observed);
    }

    /** It has 100 ms from its arrival, of which the core keeps 10; a wait of up to 100 ms counts for nothing. */
    @Test
    public void deadlineRunsFromArrivalWhereRequestWaitedForBusyThread() {
        timers.maxEventAgeNanos = 130 * MS;
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        assertEquals(List.of(timers.now + 60 * MS), responseDeadlines);
    }

    @Test
    public void startedStreamHasNoDeadlineAndReportsItsEndOnce() {
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onResponseStarted(new SingleChunkSource());
        timers.advance(1000 * MS);
        actions.perform(new LoadBalancerAction.RejectRequest(1, 0));
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.COMPLETED), 0, List.of());
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.CONNECTION_LOST), 0, List.of());
        assertEquals(List.of("forward 7", "streaming"), observed);
        assertEquals(1, events.stream().filter(e -> e instanceof AttemptEnded).count());
        assertEquals(0, proxy.openRequests());
    }

    /** Requests that backends object to must not make a backend look failing, nor its answers look quick. */
    @Test
    public void clientErrorResponseIsForwardedAndReportedAsCancelled() {
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onClientErrorResponse(new SingleChunkSource());
        actions.perform(new LoadBalancerAction.CancelAttempt(1, 0));
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.COMPLETED), 0, List.of());
        assertEquals(List.of("forward 7", "streaming"), observed);
        assertTrue(events.get(1) instanceof LoadBalancerEvent.ClientDisconnected);
        assertEquals(AttemptOutcome.CANCELLED, lastReportedOutcome());
        assertEquals(0, proxy.openRequests());
    }

    /**
     * Asked by the backend when the request is about to be written: what was decided on may be of no use to anybody by
     * then.
     */
    @Test
    public void attemptIsWantedWhileClientIsConnectedAndUnanswered() {
        RecordingClient client = new RecordingClient();
        submit(client);
        actions.perform(new StartAttempt(1, 7, 0));
        assertTrue(attemptListeners.get(0).isStillWanted());
        client.connected = false;
        assertFalse(attemptListeners.get(0).isStillWanted());
        client.connected = true;
        actions.perform(new LoadBalancerAction.RejectRequest(1, 0));
        assertFalse(attemptListeners.get(0).isStillWanted());
    }

    @Test
    public void clientDisconnectCancelsAttemptWithoutAnswer() {
        for (boolean streaming : new boolean[] {false, true}) {
            observed.clear();
            attemptListeners.clear();
            RequestProxy.RequestHandle handle = submit();
            long id = streaming ? 2 : 1;
            actions.perform(new StartAttempt(id, 7, 0));
            if (streaming) {
                attemptListeners.get(0).onResponseStarted(new SingleChunkSource());
            }
            handle.onClientDisconnected();
            handle.onClientDisconnected();
            assertEquals(
                    streaming
                            ? List.of("forward 7", "streaming", "stop 1 reader-left")
                            : List.of("forward 7", "stop 1 reader-left"),
                    observed);
            assertEquals(0, proxy.openRequests());
        }
    }

    @Test
    public void submitReturnsNullAtTheLimitOfOpenRequests() {
        assertNotNull(submit());
        assertNotNull(submit());
        assertNull(submit());
        actions.perform(new LoadBalancerAction.RejectRequest(1, 0));
        assertNotNull(submit());
    }

    @Test
    public void healthChecksAndTimersAreReportedToLoadBalancer() {
        actions.perform(new LoadBalancerAction.CheckHealth(4));
        assertEquals(List.of(2.0), ((LoadBalancerEvent.HealthChecked) events.get(0)).loadReport());
        actions.perform(new LoadBalancerAction.SetTimer(timers.now() + 5 * MS, 9));
        timers.advance(4 * MS);
        assertEquals(1, events.size());
        timers.advance(MS);
        assertEquals(new LoadBalancerEvent.TimerFired(9), events.get(1));
    }

    /** A stream whose reader has stopped is no work for its backend: the module counts it no more, and hears no end. */
    @Test
    public void stalledClientEndsAttemptForLoadBalancerOnly() {
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onResponseStarted(new SingleChunkSource());
        timers.advance(0);
        attemptListeners.get(0).onClientStalled();
        attemptListeners.get(0).onClientStalled();
        timers.advance(0);
        int eventCount = events.size();
        assertEquals(AttemptOutcome.CANCELLED, lastReportedOutcome());
        assertEquals(1, proxy.openRequests());
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.COMPLETED), 0, List.of());
        timers.advance(0);
        assertEquals(eventCount, events.size());
        assertEquals(0, proxy.openRequests());
    }

    /** What nobody expected costs the flow that it strikes an answer at once, and no other flow anything. */
    @Test
    public void uncaughtErrorFailsOnlyTheAffectedRequest() {
        Object[][] cases = {
            {LoadBalancerEvent.RequestArrived.class, List.of("failed null")},
            {AttemptEnded.class, List.of("forward 7", "failed failed")},
            {LoadBalancerEvent.ResponseStarted.class, List.of("forward 7", "streaming")}
        };
        for (Object[] row : cases) {
            observed.clear();
            failingEventType = (Class<?>) row[0];
            submit();
            if (failingEventType != LoadBalancerEvent.RequestArrived.class) {
                actions.perform(new StartAttempt(
                        ((LoadBalancerEvent.RequestArrived) events.get(events.size() - 1)).requestId(), 7, 0));
                Backends.AttemptListener listener = attemptListeners.get(attemptListeners.size() - 1);
                if (failingEventType == AttemptEnded.class) {
                    listener.onAttemptEnded(AttemptEnd.of(EndReason.BACKEND_ERROR), 0, List.of());
                } else {
                    listener.onResponseStarted(null);
                    listener.onAttemptEnded(AttemptEnd.of(EndReason.COMPLETED), 0, List.of());
                }
            }
            assertEquals(row[0].toString(), row[1], observed);
            assertEquals(0, proxy.openRequests());
        }
    }

    /** A node that ends is given little time: on r9e4702 a stream that it took after 0.9 s was cut by SIGKILL. */
    @Test
    public void shutdownRejectsNewRequestsAndKeepsInFlightOnes() {
        RequestProxy.RequestHandle before = submit();
        proxy.stopAdmitting();
        assertNull(submit());
        assertNotNull(before);
        assertEquals(1, proxy.openRequests());
    }

    /** A flow whose only attempt ends so, and of which the module says nothing more. */
    private void reachFinalDeadlineAfter(EndReason end) {
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(end), 0, List.of());
        timers.advance(116 * MS);
    }

    /**
     * The module's own answer can come behind the last call where the thread is late; its client must not ask again.
     */
    @Test
    public void finalDeadlineFailsRequestThatMayNotRunTwice() {
        reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);
        assertEquals(List.of("forward 7", "failed broken-before-head"), observed);
    }

    @Test
    public void finalDeadlineRejectsRequestThatMayRunAgainOrNeverRan() {
        reachFinalDeadlineAfter(EndReason.NOT_ACCEPTED);
        assertEquals(List.of("forward 7", "refused turned-away 1000"), observed);
        for (String effect : List.of("safe", "keyed\nprofiles.0.group=all")) {
            observed.clear();
            attemptListeners.clear();
            proxy = createProxy("profiles.count=1\nprofiles.0.effect=" + effect);
            reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);
            assertEquals(effect, List.of("forward 7", "refused broken-before-head 1000"), observed);
        }
    }

    @Test
    public void retryWithIdempotencyKeyIsNotSentAfterItsWindow() {
        proxy = createProxy(
                "profiles.count=1\nprofiles.0.effect=keyed\nprofiles.0.group=zone\nprofiles.0.window-ns=50000000");
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.CONNECT_FAILED), 0, List.of());
        timers.advance(10 * MS);
        long ran = timers.now();
        actions.perform(new StartAttempt(1, 7, 0));
        timers.advance(10 * MS);
        attemptListeners.get(1).onAttemptEnded(AttemptEnd.of(EndReason.CONNECTION_LOST), 0, List.of());
        actions.perform(new StartAttempt(1, 8, 0));
        assertEquals(
                "counted from the first that may have run, less what the process may be held up for",
                List.of(Long.MAX_VALUE, Long.MAX_VALUE, ran + 50 * MS - Backends.MAX_PROCESS_STALL_NANOS),
                sendDeadlines);
    }

    @Test
    public void forbiddenRejectionOfPossiblyExecutedRequestIsAnsweredAsFailure() {
        long violations = Metrics.value(Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows");
        proxy = createProxy("profiles.count=1\nprofiles.0.effect=unsafe");
        submit();
        actions.perform(new StartAttempt(1, 7, 0));
        attemptListeners.get(0).onAttemptEnded(AttemptEnd.of(EndReason.CONNECTION_LOST), 0, List.of());
        actions.perform(new LoadBalancerAction.RejectRequest(1, 5));
        assertTrue(observed.toString(), observed.get(observed.size() - 1).startsWith("failed"));
        assertEquals(violations + 1, Metrics.value(Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows"));
    }

    /** The process is killed 3.7 s after it was told to end, whatever the servers do that hang all the while. */
    @Test
    public void shutdownDeadlineAnswersRequestsWaitingForHungBackends() {
        for (String effect : new String[] {"safe", "unsafe"}) {
            observed.clear();
            attemptListeners.clear();
            proxy = createProxy("profiles.count=1\nprofiles.0.effect=" + effect);
            proxy.submit(new IncomingRequest(0, 0, 1, 0, 7500 * MS, 1, 0, 1, false, null), new RecordingClient());
            actions.perform(new StartAttempt(1, 7, 0));
            proxy.beginGracefulShutdown();
            proxy.submit(new IncomingRequest(0, 0, 2, 0, 7500 * MS, 1, 0, 1, false, null), new RecordingClient());
            actions.perform(new StartAttempt(2, 8, 0));
            timers.advance(FinalDeadlines.SHUTDOWN_ANSWER_DEADLINE_NANOS - MS);
            assertEquals(List.of("forward 7", "forward 8"), observed);
            timers.advance(2 * MS);
            String answer = effect.equals("safe") ? "refused" : "failed";
            assertEquals(
                    observed.toString(),
                    2,
                    observed.stream().filter(line -> line.startsWith(answer)).count());
            assertEquals(0, proxy.openRequests());
        }
    }

    /**
     * A stall of the thread with thousands of messages waiting must not cost a change of membership, or the timer that
     * asks for it.
     */
    @Test
    public void fullMailboxDropsNoEndpointUpdateTimerOrDisconnect() {
        ArrayDeque<Runnable> executor = new ArrayDeque<>();
        Mailbox mailbox = new Mailbox(executor::add, 1);
        proxy = new RequestProxy(
                new ProxyContext(
                        new SettingsParser("limits.most-tries=3\nlimits.most-held=2\n").parse(), mailbox, timers),
                1,
                (settings, seed, sink) -> {
                    actions = sink;
                    return (now, event) -> events.add(event);
                },
                new RecordingBackends(),
                new IdleEndpointWatch());
        actions.perform(new LoadBalancerAction.SetTimer(timers.now(), 3));
        RequestProxy.RequestHandle handle = submit();
        mailbox.tell(() -> {});
        assertNotNull(handle);
        proxy.onEndpointsUpdated(new LoadBalancerEvent.EndpointsUpdated(EndpointUpdateKind.DELTA, 1, List.of()));
        handle.onClientDisconnected();
        timers.advance(1);
        while (!executor.isEmpty()) {
            executor.poll().run();
        }
        List<Class<?>> kinds = new ArrayList<>();
        events.forEach(event -> kinds.add(event.getClass()));
        assertEquals(
                List.of(
                        LoadBalancerEvent.RequestArrived.class,
                        LoadBalancerEvent.EndpointsUpdated.class,
                        LoadBalancerEvent.ClientDisconnected.class,
                        LoadBalancerEvent.TimerFired.class),
                kinds);
    }
}
