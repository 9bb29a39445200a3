package fawnlb.memory;

/**
 * The bytes that one holder has reserved in a {@link MemoryBudget}. The holder keeps it at the size of what it makes
 * reachable, and releases it in the step in which it drops that.
 */
public final class MemoryReservation {
    private final MemoryBudget budget;
    private final MemoryUse use;
    private long bytes;

    MemoryReservation(MemoryBudget budget, MemoryUse use) {
        this.budget = budget;
        this.use = use;
    }

    /** How many bytes are reserved. */
    public long bytes() {
        return bytes;
    }

    /** Changes the size, if there is room for it. Returns false, and changes nothing, if there is none. */
    public boolean tryResize(long newBytes) {
        long change = newBytes - bytes;
        if (change <= 0) {
            resize(newBytes);
            return true;
        }
        if (!budget.tryReserve(use, change, newBytes)) {
            return false;
        }
        bytes += change;
        return true;
    }

    /** Changes the size, whether there is room for it or not. For what is there already and can't be refused. */
    public void resize(long newBytes) {
        budget.change(use, newBytes - bytes);
        bytes = newBytes;
    }

    /** Releases all bytes. Without effect if none are reserved. */
    public void release() {
        resize(0);
    }
}
