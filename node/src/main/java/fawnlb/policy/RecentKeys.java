package fawnlb.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * What the last requests asked for, by key: how much of their work each key drew. Only keys and figures are kept, since
 * a router before a large fleet remembers tens of thousands of requests.
 */
final class RecentKeys {
    private static final int FIRST_CAPACITY = 128;

    /** Sums over the kept requests of one key. */
    private static final class KeyTotal {
        private double work;
        private int requests;
    }

    private long[] keys = new long[FIRST_CAPACITY];
    private double[] workByIndex = new double[FIRST_CAPACITY];
    /** Where the oldest stands in both arrays, which are used round and round. */
    private int oldestIndex;

    private int size;
    private final Map<Long, KeyTotal> sums = new HashMap<>();
    private double totalWork;

    int size() {
        return size;
    }

    /** The part of all kept work that requests of this key drew; 0 if there was none. */
    double workFraction(long key) {
        KeyTotal total = sums.get(key);
        return total == null ? 0 : total.work / totalWork;
    }

    boolean contains(long key) {
        return sums.containsKey(key);
    }

    /** Keeps one more, and no more than so many. */
    void add(long key, double work, int maxRequests) {
        if (size == keys.length) {
            grow();
        }
        int index = (oldestIndex + size++) % keys.length;
        keys[index] = key;
        workByIndex[index] = work;
        KeyTotal total = sums.computeIfAbsent(key, k -> new KeyTotal());
        total.work += work;
        total.requests++;
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
        KeyTotal total = sums.get(key);
        total.work -= work;
        totalWork -= work;
        if (--total.requests == 0) {
            sums.remove(key);
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
