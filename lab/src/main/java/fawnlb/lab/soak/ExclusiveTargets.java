package fawnlb.lab.soak;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/** Nodes and backends with a fault that can't overlap with another one of its kind. Thread-safe. */
final class ExclusiveTargets {
    private final Set<Object> targetsInUse = new HashSet<>();

    /** An operation on a node or a backend. */
    @FunctionalInterface
    interface Operation<T> {
        /** Applies the operation to this node or backend. */
        void apply(T target) throws IOException, InterruptedException;
    }

    /** Applies the operation, unless another one is being applied to the same node or backend. */
    <T> void runExclusively(T target, Operation<T> operation) throws IOException, InterruptedException {
        if (!acquire(target)) {
            return;
        }
        try {
            operation.apply(target);
        } finally {
            release(target);
        }
    }

    private synchronized boolean acquire(Object target) {
        return targetsInUse.add(target);
    }

    private synchronized void release(Object target) {
        targetsInUse.remove(target);
    }
}
