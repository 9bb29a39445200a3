package fawnlb.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * A consistent-hash ring: each server has {@link #POINTS_PER_ENDPOINT} points on it, and a key belongs to the first
 * point clockwise.
 *
 * <p>The points stand in one sorted array, a server's number in the low bits of each, so that a ring of thousands of
 * servers is a few megabytes without objects. Servers join and leave by merging or leaving out their own points in one
 * pass, without sorting the others. Where two points agree in all bits but those of the number, which 640,000 points do
 * once in hundreds of rings, the lower number comes first.
 */
final class HashRing<T> {
    /** Points of a server on the ring. */
    static final int POINTS_PER_ENDPOINT = 200;
    /** Enough for more servers than the longest list can name. */
    private static final int NUMBER_BITS = 17;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    /** Points in ascending order, and behind {@link #size} room for more. */
    private long[] points = new long[0];

    private int size;
    /** Servers by their number; null where a number is free. */
    private final List<T> servers = new ArrayList<>();

    private final Deque<Integer> freeNumbers = new ArrayDeque<>();

    /** How many points there are. */
    int size() {
        return size;
    }

    /** The server that a point belongs to. */
    T endpointAt(int index) {
        return servers.get((int) (points[index] & NUMBER_MASK));
    }

    /** The index of the first point at or clockwise of the key's hash; the ring must not be empty. */
    int firstIndexFor(long key) {
        long hash = SplitMix64.mix(key) & ~NUMBER_MASK;
        int found = Arrays.binarySearch(points, 0, size, hash);
        int index = found >= 0 ? found : -1 - found;
        return index == size ? 0 : index;
    }

    /** Adds servers that are not on the ring yet. */
    void add(List<T> joined, ToLongFunction<T> id) {
        long[] added = new long[joined.size() * POINTS_PER_ENDPOINT];
        int count = 0;
        for (T server : joined) {
            long number = number(server);
            long seed = SplitMix64.mix(id.applyAsLong(server));
            for (int i = 0; i < POINTS_PER_ENDPOINT; i++) {
                added[count++] = SplitMix64.mix(seed + i) & ~NUMBER_MASK | number;
            }
        }
        Arrays.sort(added);
        merge(added);
    }

    private int number(T server) {
        Integer free = freeNumbers.poll();
        if (free != null) {
            servers.set(free, server);
            return free;
        }
        if (servers.size() > NUMBER_MASK) {
            throw new IllegalStateException("more than " + servers.size() + " servers");
        }
        servers.add(server);
        return servers.size() - 1;
    }

    /** Merges sorted points into the others, from the end on and in place. */
    private void merge(long[] added) {
        int needed = size + added.length;
        if (needed > points.length) {
            points = Arrays.copyOf(points, needed + needed / 8);
        }
        int old = size - 1;
        int next = added.length - 1;
        for (int to = needed - 1; next >= 0; to--) {
            points[to] = old >= 0 && points[old] > added[next] ? points[old--] : added[next--];
        }
        size = needed;
    }

    /** Removes the servers that are gone, with all their points. */
    void removeIf(Predicate<T> condition) {
        boolean[] isRemoved = new boolean[servers.size()];
        boolean anyRemoved = false;
        for (int number = 0; number < isRemoved.length; number++) {
            isRemoved[number] = servers.get(number) != null && condition.test(servers.get(number));
            anyRemoved |= isRemoved[number];
        }
        if (!anyRemoved) {
            return;
        }
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (!isRemoved[(int) (points[i] & NUMBER_MASK)]) {
                points[kept++] = points[i];
            }
        }
        size = kept;
        for (int number = 0; number < isRemoved.length; number++) {
            if (isRemoved[number]) {
                servers.set(number, null);
                freeNumbers.add(number);
            }
        }
        if (size < points.length / 2) {
            points = Arrays.copyOf(points, size + size / 8);
        }
    }
}
