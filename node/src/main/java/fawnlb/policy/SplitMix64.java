package fawnlb.policy;

/** Hashes 64-bit keys with the finalizer of SplitMix64, which spreads every input bit over the whole result. */
final class SplitMix64 {
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    /** A double holds 53 significant bits, so the upper 53 of 64 are used. */
    private static final int UNUSED_BITS = 11;

    private static final double UNIT = 0x1p-53;

    private SplitMix64() {}

    static long mix(long key) {
        long hash = key + GOLDEN_GAMMA;
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    /** Hashes a key to a number from 0 (inclusive) to 1 (exclusive). */
    static double toUnitInterval(long key) {
        return (mix(key) >>> UNUSED_BITS) * UNIT;
    }
}
