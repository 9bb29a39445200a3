package fawnlb.client;

import fawnlb.eventloop.ThreadSafe;

/** Parses affinity keys, of conversations and of prompt prefixes. Every instance computes the same key from a text. */
@ThreadSafe
public final class AffinityKeys {
    /** The key of a request without affinity. */
    private static final long NO_KEY = 0;

    private static final int HEXADECIMAL = 16;
    /** The constants of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private AffinityKeys() {}

    /**
     * Returns the key of a text. Up to 16 hexadecimal digits are the key itself, and any other text is hashed.
     *
     * @param text null or blank for no key, which is 0
     */
    public static long parse(String text) {
        if (text == null || text.isBlank()) {
            return NO_KEY;
        }
        if (text.matches("[0-9a-fA-F]{1,16}")) {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        }
        return hash(text, 0);
    }

    /** Returns a hash of a text. Another seed gives another hash. */
    static long hash(String text, long seed) {
        long hash = FNV_OFFSET_BASIS ^ seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
