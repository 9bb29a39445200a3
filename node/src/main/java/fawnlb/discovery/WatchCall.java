package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.net.InetSocketAddress;

/**
 * Watches the changes of the endpoint list on a response that does not end. A watch whose heartbeat is missed is
 * reported as a failed call, so that another is made; it stays open until then, since a false alarm costs nothing if
 * the watch resumes before.
 */
final class WatchCall extends DiscoveryCall {
    private static final String NAME = "watch";
    private static final long NO_LIST = Long.MIN_VALUE;

    private boolean answered;
    private boolean silent;
    /** When the object began of which parts have come, {@link #NO_LIST} if none has begun. */
    private long listSinceNanos = NO_LIST;

    WatchCall(Context context, InetSocketAddress address) {
        super(
                context,
                address,
                "/registry/instances?watch=1&from=" + context.receiver().revision(),
                NAME);
    }

    /** Whether it was neither answered nor has failed. */
    boolean isAwaitingAnswer() {
        return !isClosed() && !answered;
    }

    @Override
    void onProgress(boolean hasEvents) {
        if (hasEvents) {
            listSinceNanos = NO_LIST;
            armHeartbeatTimeout();
            resumeIfSilent();
        } else if (isListInTime(context().timers().now())) {
            armHeartbeatTimeout();
        }
    }

    /** A first list may be long. A change that does not come to its end is had sooner by another call. */
    private boolean isListInTime(long now) {
        if (listSinceNanos == NO_LIST) {
            listSinceNanos = now;
        }
        long maxNanos = answered ? DiscoveryTimeouts.MAX_CHANGE_NANOS : DiscoveryTimeouts.MAX_FIRST_LIST_NANOS;
        return now - listSinceNanos <= maxNanos;
    }

    private void armHeartbeatTimeout() {
        armTimeout(
                DiscoveryTimeouts.HEARTBEAT_TIMEOUT_NANOS,
                () -> armTimeout(DiscoveryTimeouts.UNREAD_INPUT_GRACE_NANOS, this::onHeartbeatMissed));
    }

    private void onHeartbeatMissed() {
        if (!answered) {
            fail("silent");
        } else if (!isClosed() && !silent) {
            silent = true;
            context().failureLog().logFailure(NAME, "silent");
            context().receiver().callFailed(EndpointUpdateKind.FAILED);
        }
    }

    /** Input came before another call was made, so no change was missed. */
    private void resumeIfSilent() {
        if (silent) {
            silent = false;
            logRecovery();
            context().receiver().confirmUnchanged();
        }
    }

    @Override
    void onEvent(WatchEvent event) throws EndpointListFormatException {
        if (event instanceof WatchEvent.JsonObject object) {
            context().receiver().acceptFromWatch(object.json());
            onAnswered();
        } else if (answered) {
            context().receiver().heartbeat();
        } else {
            // Nothing has changed since the revision that the watch started from: that is an answer too.
            context().receiver().confirmUnchanged();
            onAnswered();
        }
    }

    private void onAnswered() {
        if (!answered) {
            answered = true;
            Metrics.increment(Metric.DISCOVERY_CALLS, "answered");
            logRecovery();
        }
    }

    private void logRecovery() {
        context().failureLog().logRecovery(context().receiver().revision());
    }

    @Override
    void onResponseEnd() {
        fail("ended");
    }
}
