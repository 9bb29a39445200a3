package fawnlb.memory;

/** Frees memory on demand, by ending what holds it without need. */
@FunctionalInterface
public interface MemoryReclaimer {
    /**
     * Ends one holder of memory, the worst of those that may be ended.
     *
     * @return false if there is none
     */
    boolean reclaim();
}
