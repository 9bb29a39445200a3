package fawnlb.client;

/** Keys of conversations and of their shared beginnings, alike at every node. */
public final class AffinityKeys {
    private AffinityKeys() {}

    /** Up to 16 hexadecimal digits are the key itself; any other text is hashed; 0 is no key. */
    public static long parse(String text) {
        if (text == null || text.isBlank()) {
            return 0;
        }
        if (text.matches("[0-9a-fA-F]{1,16}")) {
            return Long.parseUnsignedLong(text, 16);
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
