package fawnlb.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Requests that no endpoint may take at present, in the order of their arrival. They are tried again whenever the
 * endpoints change and when the queue's timer fires; at most one timer is set at a time.
 */
final class PendingQueue {
    /** Queued requests are tried again at this interval. */
    private static final int RETRY_INTERVAL_TICKS = 5;
    /** A request is rejected this many ticks before its time is up, so that the answer still reaches its client. */
    private static final int REJECT_MARGIN_TICKS = 10;

    private final long tickNanos;
    private final Deque<ActiveRequest> requests = new ArrayDeque<>();
    private boolean timerIsSet;

    PendingQueue(long tickNanos) {
        this.tickNanos = tickNanos;
    }

    void add(ActiveRequest request) {
        requests.add(request);
    }

    /** Takes out each request that is queued now and hands it on, which may add it again; answered ones are dropped. */
    void takeEach(Consumer<ActiveRequest> consumer) {
        for (int left = requests.size(); left > 0; left--) {
            ActiveRequest request = requests.poll();
            if (!request.isAnswered()) {
                consumer.accept(request);
            }
        }
    }

    /** Whether a queued request has to be rejected now, lest its time runs out. */
    boolean isExpiring(ActiveRequest request, long now) {
        return now + REJECT_MARGIN_TICKS * tickNanos >= request.lastUsefulAt;
    }

    /** The time for which the host has to set the queue's timer; empty if it is set, or if nothing is queued. */
    OptionalLong armTimer(long now) {
        if (timerIsSet || requests.isEmpty()) {
            return OptionalLong.empty();
        }
        timerIsSet = true;
        return OptionalLong.of(now + RETRY_INTERVAL_TICKS * tickNanos);
    }

    /** Notes that the timer has fired. */
    void onTimerFired() {
        timerIsSet = false;
    }

    int size() {
        return requests.size();
    }
}
