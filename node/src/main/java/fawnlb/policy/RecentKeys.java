package fawnlb.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * The keys of the most recent requests, and the fraction of their work that each key accounts for. It holds keys and
 * numbers only, since an instance in front of a large fleet tracks tens of thousands of requests.
 */
final class RecentKeys {
    private static final int INITIAL_CAPACITY = 128;

    /** Totals over the tracked requests of one key. */
    private static final class KeyTotal {
        private double work;
        private int requestCount;
    }

    private long[] keys = new long[INITIAL_CAPACITY];
    private double[] workByIndex = new double[INITIAL_CAPACITY];
    /** The index of the oldest request in both arrays, which are ring buffers. */
    private int oldestIndex;

    private int size;
    private final Map<Long, KeyTotal> totals = new HashMap<>();
    private double totalWork;

    /** The number of tracked requests. */
    int size() {
        return size;
    }

    /** The fraction of all tracked work that belongs to this key; 0 if none does. */
    double workFraction(long key) {
        KeyTotal total = totals.get(key);
        return total == null ? 0 : total.work / totalWork;
    }

    boolean contains(long key) {
        return totals.containsKey(key);
    }

    /** Tracks one more request, and drops the oldest ones beyond the given number. */
    void add(long key, double work, int maxRequests) {
        if (size == keys.length) {
            grow();
        }
        int index = (oldestIndex + size++) % keys.length;
        keys[index] = key;
        workByIndex[index] = work;
        KeyTotal total = totals.computeIfAbsent(key, k -> new KeyTotal());
        total.work += work;
        total.requestCount++;
        totalWork += work;
        while (size > maxRequests) {
            evictOldest();
        }
    }

    private void evictOldest() {
        long key = keys[oldestIndex];
        double work = workByIndex[oldestIndex];
        oldestIndex = (oldestIndex + 1) % keys.length;
        size--;
        KeyTotal total = totals.get(key);
        total.work -= work;
        totalWork -= work;
        if (--total.requestCount == 0) {
            totals.remove(key);
        }
    }

    private void grow() {
        long[] moreKeys = new long[2 * keys.length];
        double[] moreWorks = new double[2 * keys.length];
        for (int i = 0; i < size; i++) {
            moreKeys[i] = keys[(oldestIndex + i) % keys.length];
            moreWorks[i] = workByIndex[(oldestIndex + i) % keys.length];
        }
        keys = moreKeys;
        workByIndex = moreWorks;
        oldestIndex = 0;
    }
}
