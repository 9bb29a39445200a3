package fawnlb.proxy;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.metrics.Invariant;
import fawnlb.stream.EndReason;

/**
 * Sends clients their fixed answers: rejections, which say that a retry is harmless, and failures, which don't. A
 * request gets at most one; the attempt that is still active is stopped.
 */
@EventLoopOnly
final class FinalAnswers {
    private static final long DEFAULT_RETRY_AFTER_NANOS = 1_000_000_000;

    private final ProxyContext context;
    private final OpenRequests openRequests;

    FinalAnswers(ProxyContext context, OpenRequests openRequests) {
        this.context = context;
        this.openRequests = openRequests;
    }

    /**
     * Rejects the request, or fails it where it may have been executed and its class forbids another execution.
     *
     * @param request nothing happens if it is null or answered
     * @param retryAfterNanos when the client may retry; 0 for the configured time
     */
    void reject(ProxiedRequest request, long retryAfterNanos) {
        if (request == null || request.isAnswered()) {
            return;
        }
        if (Invariant.REPEATED_AS_EFFECT_ALLOWS.check(
                isRejectable(request), request::describe, "rejected after it may have run")) {
            sendRejection(request, retryAfterNanos);
        } else {
            fail(request);
        }
    }

    /**
     * Rejects the request where its class allows it, and fails it otherwise; for a request that ran out of time without
     * a decision.
     */
    void rejectOrFail(ProxiedRequest request) {
        if (isRejectable(request)) {
            sendRejection(request, 0);
        } else {
            fail(request);
        }
    }

    /** Tells the client that its request failed, unless it was answered already or the request is null. */
    void fail(ProxiedRequest request) {
        if (request != null) {
            answer(request, () -> request.client().sendFailure(request.lastAttemptEnd()));
        }
    }

    private void sendRejection(ProxiedRequest request, long retryAfterNanos) {
        answer(
                request,
                () -> request.client()
                        .sendRejection(request.lastAttemptEnd(), effectiveRetryAfterNanos(retryAfterNanos)));
    }

    private void answer(ProxiedRequest request, Runnable send) {
        if (request.isAnswered()) {
            return;
        }
        close(request);
        send.run();
        request.stopAttempt(EndReason.CANCELLED);
    }

    /** Marks the request as answered or abandoned, and forgets it unless an attempt is active. */
    void close(ProxiedRequest request) {
        request.close();
        openRequests.removeIfFinished(request);
    }

    private boolean isRejectable(ProxiedRequest request) {
        return context.requestClass(request).isRejectable(request.mayHaveRun());
    }

    private long effectiveRetryAfterNanos(long requestedNanos) {
        long nanos = requestedNanos > 0
                ? requestedNanos
                : context.settings().limits().maxRetryAfterNanos();
        return nanos > 0 ? nanos : DEFAULT_RETRY_AFTER_NANOS;
    }
}
