package fawnlb.policy;

/** Finds order statistics, such as the median, without sorting all values. */
final class OrderStatistics {
    private OrderStatistics() {}

    /** Returns the upper median of the first {@code count} values, which it reorders; {@code count} must be above 0. */
    static double upperMedian(double[] values, int count) {
        return quickselect(values, count, count / 2);
    }

    /** Returns the value with this rank, counted from 0, by Hoare's quickselect. */
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
