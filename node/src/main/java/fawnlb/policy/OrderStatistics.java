package fawnlb.policy;

/** The value that stands at a place of an array in ascending order, found without sorting all of it. */
final class OrderStatistics {
    private OrderStatistics() {}

    /** The upper median of the first {@code count} values, which are reordered; {@code count} is above 0. */
    static double upperMedian(double[] values, int count) {
        return quickselect(values, count, count / 2);
    }

    /** Hoare's quickselect. */
    private static double quickselect(double[] values, int count, int rank) {
        int low = 0;
        int high = count - 1;
        while (low < high) {
            double pivot = values[(low + high) >>> 1];
            int left = low;
            int right = high;
            while (left <= right) {
                while (values[left] < pivot) {
                    left++;
                }
                while (values[right] > pivot) {
                    right--;
                }
                if (left <= right) {
                    double swapped = values[left];
                    values[left++] = values[right];
                    values[right--] = swapped;
                }
            }
            if (rank <= right) {
                high = right;
            } else if (rank >= left) {
                low = left;
            } else {
                return values[rank];
            }
        }
        return values[rank];
    }
}
