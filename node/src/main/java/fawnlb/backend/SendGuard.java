package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.metrics.Invariant;
import fawnlb.proxy.Backends;
import java.util.Optional;

/**
 * Decides whether the request of one attempt may be written now. Between the load balancer's decision and the write a
 * connect, a full mailbox or a stalled process may have taken time, so the exchange asks again before it looks for a
 * connection and when a new connection has come up. Belongs to the backend's actor.
 */
@EventLoopOnly
final class SendGuard {
    private final Backend backend;
    private final AttemptParameters parameters;
    private final Backends.AttemptListener listener;

    SendGuard(Backend backend, AttemptParameters parameters, Backends.AttemptListener listener) {
        this.backend = backend;
        this.parameters = parameters;
        this.listener = listener;
    }

    /** Returns the first obstacle to writing the request, empty if it may be written. */
    Optional<SendObstacle> findObstacle() {
        if (backend.isRemoved()) {
            return Optional.of(SendObstacle.BACKEND_REMOVED);
        }
        if (backend.isDraining()) {
            return Optional.of(SendObstacle.BACKEND_DRAINING);
        }
        if (backend.timers().now() >= parameters.responseDeadlineNanos()) {
            return Optional.of(SendObstacle.RESPONSE_DEADLINE_PASSED);
        }
        if (backend.timers().now() >= parameters.sendDeadlineNanos()) {
            return Optional.of(SendObstacle.SEND_DEADLINE_PASSED);
        }
        return listener.isStillWanted() ? Optional.empty() : Optional.of(SendObstacle.NO_LONGER_WANTED);
    }

    /** Checks the invariants of sending, after the request was handed to the connection. */
    void verifySent() {
        Invariant.NOT_SENT_TO_LEAVING_BACKEND.check(
                !backend.isRemoved() && !backend.isDraining(),
                this::describe,
                backend.isRemoved() ? "it had left" : "it drains");
        long deadlineNanos = Math.min(parameters.responseDeadlineNanos(), parameters.sendDeadlineNanos());
        Invariant.DEADLINE_TOLD_IN_TIME.check(
                backend.timers().now() - deadlineNanos < Backends.MAX_PROCESS_STALL_NANOS,
                this::describe,
                "written after its time");
    }

    private String describe() {
        return "request " + parameters.request().requestId() + " at " + backend.address();
    }
}
