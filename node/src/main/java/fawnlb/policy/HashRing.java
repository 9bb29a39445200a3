package fawnlb.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * A consistent-hash ring: each endpoint has {@link #POINTS_PER_ENDPOINT} points on it, and a key belongs to the
 * endpoint of the first point clockwise from its hash.
 *
 * <p>The points are held in one sorted array, with an endpoint's number in the low bits of each, so that a ring of
 * thousands of endpoints takes a few megabytes without objects. Adding and removing endpoints merges or drops their own
 * points in one pass, without sorting the others.
 *
 * <p>The order of points depends on the endpoints alone, not on the order in which they joined, so that all instances
 * agree on it. Points at one position are in the order of their endpoints at half of all positions, and in the reverse
 * order at the others: endpoints that have all of their points in common share the keys.
 *
 * @param <T> what an endpoint is represented by
 */
final class HashRing<T> {
    /** Points of one endpoint: with 200, the shares of endpoints differ by about 7% (one over the root of 200). */
    static final int POINTS_PER_ENDPOINT = 200;
    /** Numbers up to 131,071: more endpoints than the longest list can name. */
    private static final int NUMBER_BITS = 17;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    /** The first {@link #size} are points in ascending order; the rest is spare. */
    private long[] points = new long[0];

    private int size;
    /** Endpoints by their number; null where a number is free. */
    private final List<T> endpoints = new ArrayList<>();

    private final Deque<Integer> freeNumbers = new ArrayDeque<>();
    private final Comparator<? super T> endpointOrder;

    /**
     * Creates an empty ring.
     *
     * @param endpointOrder orders endpoints whose points are at one position, in the same way at every instance
     */
    HashRing(Comparator<? super T> endpointOrder) {
        this.endpointOrder = endpointOrder;
    }

    /** The number of points on the ring. */
    int size() {
        return size;
    }

    /** Returns the endpoint that the point at this index belongs to. */
    T endpointAt(int index) {
        return endpointOf(points[index]);
    }

    /** Returns the index of the first point at or clockwise from the key's hash; the ring must not be empty. */
    int firstIndexFor(long key) {
        long position = positionOf(SplitMix64.mix(key));
        int low = 0;
        int high = size;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (points[middle] < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low == size ? 0 : low;
    }

    private static long positionOf(long pointOrHash) {
        return pointOrHash & ~NUMBER_MASK;
    }

    /**
     * Adds endpoints that are not on the ring yet.
     *
     * @param ringSeed the number of an endpoint from which its points are derived
     */
    void add(List<T> joined, ToLongFunction<T> ringSeed) {
        long[] added = new long[joined.size() * POINTS_PER_ENDPOINT];
        int count = 0;
        for (T endpoint : joined) {
            long number = allocateNumber(endpoint);
            long seed = SplitMix64.mix(ringSeed.applyAsLong(endpoint));
            for (int i = 0; i < POINTS_PER_ENDPOINT; i++) {
                added[count++] = positionOf(SplitMix64.mix(seed + i)) | number;
            }
        }
        sort(added);
        merge(added);
    }

    private int allocateNumber(T endpoint) {
        Integer freeNumber = freeNumbers.poll();
        if (freeNumber != null) {
            endpoints.set(freeNumber, endpoint);
            return freeNumber;
        }
        if (endpoints.size() > NUMBER_MASK) {
            throw new IllegalStateException("more than " + endpoints.size() + " endpoints");
        }
        endpoints.add(endpoint);
        return endpoints.size() - 1;
    }

    private void sort(long[] added) {
        Arrays.sort(added);
        for (int i = 1; i < added.length; i++) {
            for (int j = i; j > 0 && isAfter(added[j - 1], added[j]); j--) {
                long later = added[j - 1];
                added[j - 1] = added[j];
                added[j] = later;
            }
        }
    }

    /** The order of all points: by position, and by their endpoints at one position. */
    private boolean isAfter(long point, long other) {
        long position = positionOf(point);
        if (position != positionOf(other)) {
            return point > other;
        }
        int order = endpointOrder.compare(endpointOf(point), endpointOf(other));
        boolean isReversed = (position >>> NUMBER_BITS & 1) != 0;
        return isReversed ? order < 0 : order > 0;
    }

    private T endpointOf(long point) {
        return endpoints.get((int) (point & NUMBER_MASK));
    }

    /** Merges sorted points into the others in place, from the end to the start. */
    private void merge(long[] added) {
        int newSize = size + added.length;
        if (newSize > points.length) {
            points = Arrays.copyOf(points, newSize + newSize / 8);
        }
        int oldIndex = size - 1;
        int addedIndex = added.length - 1;
        for (int targetIndex = newSize - 1; addedIndex >= 0; targetIndex--) {
            points[targetIndex] = oldIndex >= 0 && isAfter(points[oldIndex], added[addedIndex])
                    ? points[oldIndex--]
                    : added[addedIndex--];
        }
        size = newSize;
    }

    /** Removes the endpoints that meet the condition, with all their points. */
    void removeIf(Predicate<T> condition) {
        boolean[] isRemoved = new boolean[endpoints.size()];
        boolean anyRemoved = false;
        for (int number = 0; number < isRemoved.length; number++) {
            isRemoved[number] = endpoints.get(number) != null && condition.test(endpoints.get(number));
            anyRemoved |= isRemoved[number];
        }
        if (!anyRemoved) {
            return;
        }
        int newSize = 0;
        for (int i = 0; i < size; i++) {
            if (!isRemoved[(int) (points[i] & NUMBER_MASK)]) {
                points[newSize++] = points[i];
            }
        }
        size = newSize;
        for (int number = 0; number < isRemoved.length; number++) {
            if (isRemoved[number]) {
                endpoints.set(number, null);
                freeNumbers.add(number);
            }
        }
        if (size < points.length / 2) {
            points = Arrays.copyOf(points, size + size / 8);
        }
    }
}
