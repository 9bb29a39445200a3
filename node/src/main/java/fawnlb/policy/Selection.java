package fawnlb.policy;

/** The value that stands at a place of an array in ascending order, found without sorting all of it. */
final class Selection {
    private Selection() {}

    /** The upper median of the first {@code count} values, which are reordered; {@code count} is above 0. */
    static double upperMedian(double[] values, int count) {
        return select(values, count, count / 2);
    }

    /** Hoare's quickselect. */
    private static double select(double[] values, int count, int place) {
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
            if (place <= right) {
                high = right;
            } else if (place >= left) {
                low = left;
            } else {
                return values[place];
            }
        }
        return values[place];
    }
}
