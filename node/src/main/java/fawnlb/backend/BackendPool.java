package fawnlb.backend;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointPhase;
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

/** All backends that the list has named, an actor each. */
public final class BackendPool implements Backends {
    private static final int MAILBOX_CAPACITY = 4096;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Limits limits;
    private final Map<Long, Backend> backends = new HashMap<>();
    private final StreamRegistry streams;
    private int openSockets;

    /**
     * What holds for all connections; times in nanoseconds.
     *
     * @param connectTimeoutNanos how long a connect may take
     * @param idle after how long a backend closes a connection that carries no request
     * @param minRestNanos how long a connection rests between two requests. A backend may send a second answer behind
     *     the first, some milliseconds late: behind the next request it would be taken for that one's answer, while a
     *     resting connection closes
     * @param probe how long a probe may take
     * @param sockets how many connections may be open
     * @param loadReportFields the fields of load reports, in their order
     */
    public record Limits(
            long connectTimeoutNanos,
            long backendIdleTimeoutNanos,
            long minRestNanos,
            long healthCheckTimeoutNanos,
            int maxSockets,
            List<String> loadReportFields) {}

    public BackendPool(XnioIoThread thread, Timers timers, Limits limits, StreamRegistry streams) {
        this.thread = thread;
        this.timers = timers;
        this.limits = limits;
        this.streams = streams;
    }

    /**
     * Where a backend listens, as the list says; one that is gone keeps the attempts it has. {@code startedAtNanos}:
     * when it started. Idle connections from before that lead nowhere, and one to a machine that vanished does not say
     * so.
     */
    public void updateBackend(
            long id, InetSocketAddress address, long startedAtNanos, EndpointPhase phase, Dialect dialect) {
        BackendIdentity identity = new BackendIdentity(id, address, startedAtNanos, dialect);
        Backend backend = backends.get(id);
        boolean changed = backend != null
                && (phase == EndpointPhase.GONE || !backend.identity().equals(identity));
        if (changed) {
            backends.remove(id);
            backend.remove();
        }
        if (phase != EndpointPhase.GONE && (backend == null || changed)) {
            backend = new Backend(identity, this, new Mailbox(thread, MAILBOX_CAPACITY));
            backends.put(id, backend);
        }
        if (phase != EndpointPhase.GONE) {
            backend.setDraining(phase == EndpointPhase.DRAINING);
        }
    }

    /** Lets go of all others: a whole list names those that are gone by leaving them out. */
    public void retainOnly(Set<Long> listed) {
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
            long id,
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
        if (!payload.canBeSentAs(backend.dialect())) {
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

    /** Where a backend listens, {@code -} if it is not listed. */
    public String describeAddress(long id) {
        Backend backend = backends.get(id);
        return backend == null ? "-" : backend.identity().hostAndPort();
    }

    @Override
    public void checkHealth(long id, HealthCheckListener listener) {
        Backend backend = backends.get(id);
        if (backend == null) {
            listener.onHealthChecked(AttemptOutcome.NEVER_SENT, List.of());
        } else {
            backend.checkHealth(listener);
        }
    }

    /** Whether one more connection may be opened; idle ones to other backends make room. */
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

    Limits limits() {
        return limits;
    }

    StreamRegistry streams() {
        return streams;
    }

    void onSocketOpened() {
        openSockets++;
    }

    void onSocketClosed() {
        openSockets--;
    }
}
