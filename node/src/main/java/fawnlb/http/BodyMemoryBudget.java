package fawnlb.http;

import fawnlb.eventloop.ThreadSafe;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that request bodies may use together. Without a common limit, clients that each send the largest allowed
 * body at the same time would need more than the heap holds.
 */
@ThreadSafe
final class BodyMemoryBudget {
    private final AtomicLong availableBytes;

    BodyMemoryBudget(long maxBufferedBytes) {
        availableBytes = new AtomicLong(maxBufferedBytes);
    }

    /** Reserves memory. Returns false, and reserves nothing, if less than that is available. */
    boolean tryReserve(int bytes) {
        if (availableBytes.addAndGet(-bytes) < 0) {
            availableBytes.addAndGet(bytes);
            return false;
        }
        return true;
    }

    /** Returns memory that {@link #tryReserve} reserved. */
    void release(int bytes) {
        availableBytes.addAndGet(bytes);
    }
}
