package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The ids of requests that have ended lately, up to a number and for a time. It keeps hashes of the ids alone. */
@EventLoopOnly
final class RecentRequestIds {
    /** Some minutes of a busy instance, in about 0.6 MB of the heap. */
    static final int MAX_IDS = 8192;
    /** Far longer than clients and backends take for a request. */
    static final long RETENTION_NANOS = 600_000_000_000L;

    private final Timers timers;
    /** When requests ended, by the hashes of their ids; the first one ended first. */
    private final Map<Long, Long> endedAtNanos = new LinkedHashMap<>();

    private final long hashSeed = System.nanoTime();

    RecentRequestIds(Timers timers) {
        this.timers = timers;
    }

    /** Adds an id, in place of the one that ended first if there are too many. */
    void add(String id) {
        long hash = hash(id);
        endedAtNanos.remove(hash);
        endedAtNanos.put(hash, timers.now());
        removeExpired();
    }

    boolean contains(String id) {
        removeExpired();
        return endedAtNanos.containsKey(hash(id));
    }

    private void removeExpired() {
        long expiredBeforeNanos = timers.now() - RETENTION_NANOS;
        Iterator<Long> oldestFirst = endedAtNanos.values().iterator();
        while (oldestFirst.hasNext() && (oldestFirst.next() <= expiredBeforeNanos || endedAtNanos.size() > MAX_IDS)) {
            oldestFirst.remove();
        }
    }

    /** Of 64 bits, so that two ids of those that are kept hardly ever share one. */
    private long hash(String id) {
        return AffinityKeys.hash(id, hashSeed);
    }
}
