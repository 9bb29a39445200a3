package fawnlb.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
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
 * points in one pass, without sorting the others. Where two points agree in all bits but those of the number, which
 * 640,000 points do once in hundreds of rings, the lower number comes first.
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

    /** The number of points on the ring. */
    int size() {
        return size;
    }

    /** Returns the endpoint that the point at this index belongs to. */
    T endpointAt(int index) {
        return endpoints.get((int) (points[index] & NUMBER_MASK));
    }

    /** Returns the index of the first point at or clockwise from the key's hash; the ring must not be empty. */
    int firstIndexFor(long key) {
        long hash = SplitMix64.mix(key) & ~NUMBER_MASK;
        int found = Arrays.binarySearch(points, 0, size, hash);
        int index = found >= 0 ? found : -1 - found;
        return index == size ? 0 : index;
    }

    /** Adds endpoints that are not on the ring yet; their points are derived from their ids. */
    void add(List<T> joined, ToLongFunction<T> id) {
        long[] added = new long[joined.size() * POINTS_PER_ENDPOINT];
        int count = 0;
        for (T endpoint : joined) {
            long number = allocateNumber(endpoint);
            long seed = SplitMix64.mix(id.applyAsLong(endpoint));
            for (int i = 0; i < POINTS_PER_ENDPOINT; i++) {
                added[count++] = SplitMix64.mix(seed + i) & ~NUMBER_MASK | number;
            }
        }
        Arrays.sort(added);
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

    /** Merges sorted points into the others in place, from the end to the start. */
    private void merge(long[] added) {
        int newSize = size + added.length;
        if (newSize > points.length) {
            points = Arrays.copyOf(points, newSize + newSize / 8);
        }
        int oldIndex = size - 1;
        int addedIndex = added.length - 1;
        for (int targetIndex = newSize - 1; addedIndex >= 0; targetIndex--) {
            points[targetIndex] =
                    oldIndex >= 0 && points[oldIndex] > added[addedIndex] ? points[oldIndex--] : added[addedIndex--];
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
