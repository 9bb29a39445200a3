package fawnlb.backend;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.proxy.Backends;
import fawnlb.proxy.IncomingRequest;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import fawnlb.stream.StreamRegistry;
import fawnlb.translation.Dialect;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.XnioIoThread;

/**
 * The backends of one instance, one for each endpoint of the endpoint list. Limits the number of connections to all of
 * them together. Belongs to one event loop.
 */
@EventLoopOnly
public final class BackendPool implements Backends {
    /**
     * Messages that may wait at one backend. A full mailbox means that the event loop is far behind; new attempts then
     * fail at once instead of waiting longer than their clients do.
     */
    private static final int MAILBOX_CAPACITY = 4096;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Limits limits;
    private final CutStreamLog cutStreamLog;
    private final Map<EndpointId, Backend> backends = new HashMap<>();
    private final StreamRegistry streams;
    private int openSockets;

    /**
     * The limits for all connections.
     *
     * @param connectTimeoutNanos how long a connect may take
     * @param backendIdleTimeoutNanos after how long a backend closes a connection that carries no request
     * @param minRestNanos how long a connection rests between two requests. A backend may send a second response some
     *     milliseconds after the first. On a resting connection that is a reason to close it; behind the next request
     *     it would be taken for the response to that
     * @param healthCheckTimeoutNanos how long a health check may take, from its start to the end of the response
     * @param maxSockets how many connections may be open or being opened
     * @param loadReportFields the fields of load reports, in the order in which their values are reported
     */
    public record Limits(
            long connectTimeoutNanos,
            long backendIdleTimeoutNanos,
            long minRestNanos,
            long healthCheckTimeoutNanos,
            int maxSockets,
            List<String> loadReportFields) {}

    /** Creates a pool without backends, whose connections are handled by the given event loop. */
    public BackendPool(XnioIoThread thread, Timers timers, Limits limits, StreamRegistry streams) {
        this.thread = thread;
        this.timers = timers;
        this.limits = limits;
        this.cutStreamLog = new CutStreamLog(timers);
        this.streams = streams;
    }

    /**
     * Adds, changes or removes a backend as the endpoint list says. An endpoint with another address, start time or
     * dialect replaces the backend; attempts on the former one run on.
     *
     * @param startedAtNanos when the endpoint started, in nanoseconds on the instance's clock
     */
    public void updateBackend(
            EndpointId id, InetSocketAddress address, long startedAtNanos, EndpointPhase phase, Dialect dialect) {
        Backend former = backends.get(id);
        if (phase == EndpointPhase.GONE) {
            if (former != null) {
                backends.remove(id);
                former.remove();
            }
            return;
        }
        BackendIdentity identity = new BackendIdentity(id, address, startedAtNanos, dialect);
        if (former == null || !former.identity().equals(identity)) {
            if (former != null) {
                former.remove();
            }
            backends.put(id, new Backend(identity, this, new Mailbox(thread, MAILBOX_CAPACITY)));
        }
        backends.get(id).setDraining(phase == EndpointPhase.DRAINING);
    }

    /** Removes all backends whose ids are not given: a complete endpoint list leaves out those that are gone. */
    public void retainOnly(Set<EndpointId> listed) {
        backends.entrySet().removeIf(entry -> {
            boolean isRemoved = !listed.contains(entry.getKey());
            if (isRemoved) {
                entry.getValue().remove();
            }
            return isRemoved;
        });
    }

    @Override
    public Attempt startAttempt(
            EndpointId id,
            IncomingRequest request,
            long responseDeadlineNanos,
            long sendDeadlineNanos,
            boolean retryPossible,
            AttemptListener listener) {
        Backend backend = backends.get(id);
        if (backend == null) {
            return rejectAttempt(listener);
        }
        OutboundRequest payload = (OutboundRequest) request.payload();
        if (!payload.bodies().isAvailableIn(backend.dialect())) {
            return rejectAttempt(listener);
        }
        return backend.startAttempt(
                new AttemptParameters(
                        payload, request.promptTokens(), responseDeadlineNanos, sendDeadlineNanos, retryPossible),
                listener);
    }

    private static Attempt rejectAttempt(AttemptListener listener) {
        listener.onAttemptEnded(AttemptEnd.of(EndReason.NOT_SENT), 0, List.of());
        return reason -> {};
    }

    /** Returns the host and port of a backend, {@code -} if there is none of that id. */
    public String describeAddress(EndpointId id) {
        Backend backend = backends.get(id);
        return backend == null ? "-" : backend.identity().hostAndPort();
    }

    @Override
    public void checkHealth(EndpointId id, HealthCheckListener listener) {
        Backend backend = backends.get(id);
        if (backend == null) {
            listener.onHealthChecked(AttemptOutcome.NEVER_SENT, List.of());
        } else {
            backend.checkHealth(listener);
        }
    }

    /**
     * Returns whether one more connection may be opened. At the limit the connection that has been idle for longest is
     * closed, to whichever backend it leads.
     */
    boolean makeRoomForSocket() {
        if (openSockets >= limits.maxSockets()) {
            backends.values().stream()
                    .map(Backend::idleConnections)
                    .filter(idle -> !idle.isEmpty())
                    .min(Comparator.comparingLong(IdleConnections::oldestIdleSinceNanos))
                    .ifPresent(IdleConnections::closeOldest);
        }
        return openSockets < limits.maxSockets();
    }

    XnioIoThread thread() {
        return thread;
    }

    Timers timers() {
        return timers;
    }

    CutStreamLog cutStreamLog() {
        return cutStreamLog;
    }

    Limits limits() {
        return limits;
    }

    StreamRegistry streams() {
        return streams;
    }

    /** Counts a connection, when its connect starts. */
    void onSocketOpened() {
        openSockets++;
    }

    /** Counts a connection that was closed or did not come up. */
    void onSocketClosed() {
        openSockets--;
    }
}
