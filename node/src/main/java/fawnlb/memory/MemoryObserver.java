package fawnlb.memory;

/** Is notified when a {@link MemoryBudget} has no room. */
public interface MemoryObserver {
    /** An observer that does nothing. */
    MemoryObserver NONE = new MemoryObserver() {
        @Override
        public void onRefused(MemoryUse use, long requestedBytes) {
            // Nobody is notified.
        }

        @Override
        public void onReclaimed(MemoryUse use) {
            // Nobody is notified.
        }
    };

    /** A reservation was refused. */
    void onRefused(MemoryUse use, long requestedBytes);

    /** A reclaimer has ended a holder of memory so that a reservation for the given use fits. */
    void onReclaimed(MemoryUse use);
}
