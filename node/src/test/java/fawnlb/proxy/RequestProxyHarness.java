package fawnlb.proxy;

import static org.junit.Assert.assertEquals;

import fawnlb.config.SettingsParser;
import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ManualTimers;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A proxy with a load balancer that only records events, backends and clients that record calls, and a clock set by
 * hand.
 */
final class RequestProxyHarness {
    private static final long START_NANOS = 1_000_000_000;

    static final long MS = 1_000_000;
    /** How long the client of {@link #submit()} waits for its response to begin. */
    static final long CLIENT_TIMEOUT_NANOS = 100 * MS;

    /** The id that clients give their requests. */
    static final String CLIENT_REQUEST_ID = "r-1";

    /** What backends and clients were asked to do, in order. */
    final List<String> observed = new ArrayList<>();

    final List<LoadBalancerEvent> events = new ArrayList<>();
    /** One for each attempt that was started. */
    final List<Backends.AttemptListener> attemptListeners = new ArrayList<>();

    final List<Long> sendDeadlines = new ArrayList<>();
    final List<Long> responseDeadlines = new ArrayList<>();
    final ManualTimers timers = new ManualTimers(START_NANOS);
    final RequestProxy proxy;
    private LoadBalancer.ActionSink actions;
    private Class<?> failingEventType;

    /** With the settings' defaults for the one class of requests. */
    RequestProxyHarness() {
        this("");
    }

    /** @param classSettings lines of settings for the classes of requests */
    RequestProxyHarness(String classSettings) {
        this(classSettings, new Mailbox(Runnable::run, 100));
    }

    RequestProxyHarness(String classSettings, Mailbox mailbox) {
        ProxyContext context = new ProxyContext(
                new SettingsParser("limits.most-tries=3\nlimits.most-held=2\n" + classSettings).parse(),
                mailbox,
                timers);
        proxy = new RequestProxy(
                context, 1, this::createLoadBalancer, new RecordingBackends(), new IdleEndpointWatch());
    }

    private LoadBalancer createLoadBalancer(LoadBalancerSettings settings, long seed, LoadBalancer.ActionSink sink) {
        actions = sink;
        return (now, event) -> {
            events.add(event);
            if (event.getClass() == failingEventType) {
                throw new IllegalStateException("meant to fail");
            }
        };
    }

    /** From now on the load balancer throws on events of this type; null: on none. */
    void failOn(Class<? extends LoadBalancerEvent> eventType) {
        failingEventType = eventType;
    }

    /** Has the load balancer ask for an action. */
    void perform(LoadBalancerAction action) {
        actions.perform(action);
    }

    void startAttempt(long request, long endpoint) {
        perform(new LoadBalancerAction.StartAttempt(request, EndpointId.ofNumber(endpoint), 0));
    }

    /** Reports the end of an attempt; attempts are counted from 0 over all requests. */
    void endAttempt(int index, EndReason reason) {
        attemptListeners.get(index).onAttemptEnded(AttemptEnd.of(reason), 0, List.of());
    }

    void startResponse(int index) {
        attemptListeners.get(index).onResponseStarted(new SingleChunkSource());
    }

    void startClientErrorResponse(int index) {
        attemptListeners.get(index).onClientErrorResponse(new SingleChunkSource());
    }

    RequestProxy.RequestHandle submit() {
        return submit(new RecordingClient());
    }

    RequestProxy.RequestHandle submit(RecordingClient client) {
        return submit(client, CLIENT_TIMEOUT_NANOS);
    }

    RequestProxy.RequestHandle submit(RecordingClient client, long timeoutNanos) {
        return proxy.submit(
                new IncomingRequest(0, 0, 1, 0, timeoutNanos, 1, 0, 1, false, () -> CLIENT_REQUEST_ID), client);
    }

    LoadBalancerEvent lastEvent() {
        return events.get(events.size() - 1);
    }

    AttemptOutcome lastReportedOutcome() {
        return ((AttemptEnded) lastEvent()).outcome();
    }

    /** Asserts that a request submitted now is forwarded, streamed and forgotten, as if nothing had happened before. */
    void assertNextRequestIsServed() {
        int attempt = attemptListeners.size();
        observed.clear();
        submit();
        startAttempt(((RequestArrived) lastEvent()).requestId(), 9);
        startResponse(attempt);
        endAttempt(attempt, EndReason.COMPLETED);
        assertEquals(List.of("forward 9", "streaming"), observed);
        assertEquals(0, proxy.openRequests());
    }

    private final class RecordingBackends implements Backends {
        @Override
        public Attempt startAttempt(
                EndpointId backend,
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
            return reason -> {
                observed.add("stop " + number + ' ' + reason.label());
                listener.onAttemptEnded(AttemptEnd.of(reason), 0, List.of());
            };
        }

        @Override
        public void checkHealth(EndpointId backend, HealthCheckListener listener) {
            listener.onHealthChecked(AttemptOutcome.SERVED, List.of(2.0));
        }
    }

    private static final class IdleEndpointWatch implements EndpointWatch {
        @Override
        public void watchEndpoints() {}

        @Override
        public void fetchEndpoints() {}
    }

    /** A client that records its answers. */
    final class RecordingClient implements ClientConnection {
        private boolean connected = true;

        void setConnected(boolean connected) {
            this.connected = connected;
        }

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
            observed.add("refused " + label(cause) + ' ' + retryAfterNanos / MS);
        }

        @Override
        public void sendFailure(AttemptEnd cause) {
            observed.add("failed " + label(cause));
        }

        private static String label(AttemptEnd cause) {
            return cause == null ? null : cause.label();
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
        public void onUnsentBytes(int unsentBytes) {}

        @Override
        public void onSinkClosed() {}
    }
}
