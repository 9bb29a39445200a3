package fawnlb.stream;

import fawnlb.memory.MemoryBudget;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bytes that are buffered for the clients of all streams, and which stream is ended when there are too many: the
 * one whose client has read nothing for longest. There are too many over a limit of their own, and over what the
 * process may hold in all. Belongs to the registry.
 */
final class BufferLimit {
    private final long maxBytes;
    private final MemoryBudget memory;
    /** Streams whose clients have not read all of their chunk, in the order of their last progress. */
    private final Set<ResponseStream> slowClients = new LinkedHashSet<>();

    private long bufferedBytes;

    BufferLimit(long maxBytes, MemoryBudget memory) {
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    long bufferedBytes() {
        return bufferedBytes;
    }

    void change(long bytes) {
        bufferedBytes += bytes;
    }

    boolean isExceeded() {
        return bufferedBytes > maxBytes || memory.isExceeded();
    }

    /** A client has read something, or has just fallen behind: it is the last to be evicted. */
    void onClientProgress(ResponseStream stream) {
        slowClients.remove(stream);
        slowClients.add(stream);
    }

    /** A client has read all, or its stream has ended: it is not evicted. */
    void onClientCaughtUp(ResponseStream stream) {
        slowClients.remove(stream);
    }

    /**
     * Evicts slow clients until the limit holds. Without slow clients the bytes are on their way, and no stream is at
     * fault.
     */
    void enforce() {
        while (isExceeded() && !slowClients.isEmpty()) {
            ResponseStream longestStalled = slowClients.iterator().next();
            slowClients.remove(longestStalled);
            longestStalled.evict();
        }
    }
}
