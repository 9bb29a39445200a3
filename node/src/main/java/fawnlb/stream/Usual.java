package fawnlb.stream;

import java.util.HashMap;
import java.util.Map;

/**
 * What is usual for the gaps between events and for the wait for the first one, by backend and by the fleet. A wait is
 * held against the middle one of prompts of its length, so that a backend that reads long prompts does not look slow.
 * Times are nanoseconds.
 */
final class Usual {
    /** A threshold from fewer values says little. */
    private static final int ENOUGH = 30;
    /** Once in a thousand: nothing is given up for being like the others. */
    private static final double ORDINARY = 3;

    private static final int LENGTHS = 20;
    private static final double MEDIAN_STEP = 0.1;

    private final Map<Long, Own> backends = new HashMap<>();
    private final Excess gapExcess = new Excess();
    private final Excess waitExcess = new Excess();
    /** All backends as if they were one, with a shape of its own: it holds their differences too. */
    private final Own fleet = new Own(new Excess(), new Excess());

    private final double[] middle = new double[LENGTHS];

    private static final class Own {
        private final UpperTail gaps;
        private final UpperTail waits;

        Own(Excess gapExcess, Excess waitExcess) {
            gaps = new UpperTail(gapExcess);
            waits = new UpperTail(waitExcess);
        }
    }

    private Own own(long backend) {
        return backends.computeIfAbsent(backend, key -> new Own(gapExcess, waitExcess));
    }

    void gap(long backend, long nanos) {
        own(backend).gaps.add(nanos);
        fleet.gaps.add(nanos);
    }

    /** A first event came after so long. */
    void wait(long backend, double promptTokens, long nanos) {
        int length = length(promptTokens);
        double log = Math.log(Math.max(1, nanos));
        middle[length] = middle[length] == 0 ? log : middle[length] + Math.signum(log - middle[length]) * MEDIAN_STEP;
        double ratio = nanos / Math.exp(middle[length]);
        own(backend).waits.add(ratio);
        fleet.waits.add(ratio);
    }

    /** A wait was given up after so long: without it, what is usual would shrink to what is allowed. */
    void waitedInVain(long backend, double promptTokens, long nanos) {
        int length = length(promptTokens);
        if (middle[length] != 0) {
            double ratio = nanos / Math.exp(middle[length]);
            own(backend).waits.atLeast(ratio);
            fleet.waits.atLeast(ratio);
        }
    }

    /** Prompts of about one length, a factor of two apart. */
    private static int length(double tokens) {
        return (int) Math.min(LENGTHS - 1, Math.max(0, Math.log(Math.max(1, tokens)) / Math.log(2)));
    }

    /** The gap that is exceeded with probability {@code 10^-phi}, {@link Long#MAX_VALUE} while that is not known. */
    long gap(long backend, double phi) {
        Own own = backends.get(backend);
        return (long) either(own == null ? null : own.gaps, fleet.gaps, phi);
    }

    /** The same for the wait for the first event; of a prompt of a length not met yet nothing is known either. */
    long wait(long backend, double promptTokens, double phi) {
        Own own = backends.get(backend);
        long typical = typicalWait(promptTokens);
        return typical == 0
                ? Long.MAX_VALUE
                : (long) Math.min(Long.MAX_VALUE, typical * either(own == null ? null : own.waits, fleet.waits, phi));
    }

    /** The middle wait with prompts of this length, 0 while there has been none. */
    long typicalWait(double promptTokens) {
        double log = middle[length(promptTokens)];
        return log == 0 ? 0 : (long) Math.exp(log);
    }

    /** What the backend has shown to be usual, and at the least what is ordinary among all. */
    private static double either(UpperTail own, UpperTail all, double phi) {
        if (all.seen() < ENOUGH) {
            return Long.MAX_VALUE;
        }
        return own == null || own.seen() < ENOUGH
                ? all.exceededBy(phi)
                : Math.max(own.exceededBy(phi), all.exceededBy(Math.min(phi, ORDINARY)));
    }

    void forget(long backend) {
        backends.remove(backend);
    }
}
