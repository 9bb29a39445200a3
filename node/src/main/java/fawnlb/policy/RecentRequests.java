package fawnlb.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * What the last requests asked for, by key: how much of their work each key drew. Only keys and figures are kept, since
 * a router before a large fleet remembers tens of thousands of requests.
 */
final class RecentRequests {
    private static final int FIRST_CAPACITY = 128;

    /** Sums over the kept requests of one key. */
    private static final class Sum {
        private double work;
        private int requests;
    }

    private long[] keys = new long[FIRST_CAPACITY];
    private double[] works = new double[FIRST_CAPACITY];
    /** Where the oldest stands in both arrays, which are used round and round. */
    private int oldest;

    private int size;
    private final Map<Long, Sum> sums = new HashMap<>();
    private double totalWork;

    int size() {
        return size;
    }

    /** The part of all kept work that requests of this key drew; 0 if there was none. */
    double part(long key) {
        Sum sum = sums.get(key);
        return sum == null ? 0 : sum.work / totalWork;
    }

    boolean knows(long key) {
        return sums.containsKey(key);
    }

    /** Keeps one more, and no more than so many. */
    void add(long key, double work, int max) {
        if (size == keys.length) {
            grow();
        }
        int place = (oldest + size++) % keys.length;
        keys[place] = key;
        works[place] = work;
        Sum sum = sums.computeIfAbsent(key, k -> new Sum());
        sum.work += work;
        sum.requests++;
        totalWork += work;
        while (size > max) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        long key = keys[oldest];
        double work = works[oldest];
        oldest = (oldest + 1) % keys.length;
        size--;
        Sum sum = sums.get(key);
        sum.work -= work;
        totalWork -= work;
        if (--sum.requests == 0) {
            sums.remove(key);
        }
    }

    private void grow() {
        long[] moreKeys = new long[2 * keys.length];
        double[] moreWorks = new double[2 * keys.length];
        for (int i = 0; i < size; i++) {
            moreKeys[i] = keys[(oldest + i) % keys.length];
            moreWorks[i] = works[(oldest + i) % keys.length];
        }
        keys = moreKeys;
        works = moreWorks;
        oldest = 0;
    }
}
