package fawnlb.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The memory that may be held for clients and servers together. All that they can make the process hold is reserved
 * here for as long as it is reachable, so that its sum fits the heap whatever its parts are.
 *
 * <p>Requests can be refused, so their reservations fail when there is no room. Responses that have begun can't: their
 * reservations always succeed, a part of the capacity is kept free for them, and {@link #isExceeded} tells their owner
 * to end some.
 */
public final class MemoryBudget {
    /**
     * Larger reservations leave a part of the capacity to smaller ones, so that few large requests can't keep out all.
     */
    private static final long SMALL_RESERVATION_BYTES = 32 << 10;

    private static final double SHARE_OF_LARGE_RESERVATIONS = 0.75;

    private final long capacityBytes;
    private final long responseBytes;
    private final MemoryObserver observer;
    private final Map<MemoryUse, Long> reservedBytes = new EnumMap<>(MemoryUse.class);
    private final List<MemoryReclaimer> reclaimers = new ArrayList<>();
    private long totalBytes;
    private boolean isReclaiming;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param capacityBytes what may be reserved in all
     * @param responseBytes the part of the capacity that is kept for responses
     */
    public MemoryBudget(long capacityBytes, long responseBytes, MemoryObserver observer) {
        this.capacityBytes = capacityBytes;
        this.responseBytes = responseBytes;
        this.observer = observer;
        for (MemoryUse use : MemoryUse.values()) {
            reservedBytes.put(use, 0L);
        }
    }

    /** Returns a budget without a limit, for parts that run without a server around them. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE / 2, 0, MemoryObserver.NONE);
    }

    /** Adds a reclaimer. Those that were added first are asked first. */
    public void addReclaimer(MemoryReclaimer reclaimer) {
        reclaimers.add(reclaimer);
    }

    /** Opens a reservation of no bytes. */
    public MemoryReservation open(MemoryUse use) {
        return new MemoryReservation(this, use);
    }

    /** What may be reserved in all. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** What is reserved for a use. */
    public long reservedBytes(MemoryUse use) {
        return reservedBytes.get(use);
    }

    /** Whether more is reserved than the capacity; responses and endpoints can make it so. */
    public boolean isExceeded() {
        return totalBytes > capacityBytes;
    }

    /**
     * Reserves more bytes for a request. Returns false, and reserves nothing, if there is no room for them.
     *
     * @param sizeBytes the size of the whole reservation after that
     */
    boolean tryReserve(MemoryUse use, long bytes, long sizeBytes) {
        if (!makeRoom(use, bytes, limitBytes(sizeBytes))) {
            observer.onRefused(use, bytes);
            return false;
        }
        change(use, bytes);
        return true;
    }

    /** What requests and endpoints may reserve in all so that a reservation of a size is granted. */
    private long limitBytes(long sizeBytes) {
        long responses = reservedBytes(MemoryUse.RESPONSES);
        long remainingBytes = capacityBytes - Math.max(responses, responseBytes);
        return sizeBytes <= SMALL_RESERVATION_BYTES
                ? remainingBytes
                : (long) (remainingBytes * SHARE_OF_LARGE_RESERVATIONS);
    }

    private boolean makeRoom(MemoryUse use, long bytes, long limitBytes) {
        // A reclaimer may let others continue that need memory: these are refused instead of reclaiming again.
        while (!fits(bytes, limitBytes) && !isReclaiming) {
            if (!reclaimOnce()) {
                return false;
            }
            observer.onReclaimed(use);
        }
        return fits(bytes, limitBytes);
    }

    private boolean fits(long bytes, long limitBytes) {
        return totalBytes - reservedBytes(MemoryUse.RESPONSES) + bytes <= limitBytes;
    }

    private boolean reclaimOnce() {
        isReclaiming = true;
        try {
            for (MemoryReclaimer reclaimer : reclaimers) {
                if (reclaimer.reclaim()) {
                    return true;
                }
            }
            return false;
        } finally {
            isReclaiming = false;
        }
    }

    /** Reserves bytes, or releases them if the change is negative, whether there is room or not. */
    void change(MemoryUse use, long bytes) {
        reservedBytes.merge(use, bytes, Long::sum);
        totalBytes += bytes;
    }
}
