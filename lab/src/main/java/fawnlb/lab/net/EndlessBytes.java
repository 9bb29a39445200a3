package fawnlb.lab.net;

import java.nio.charset.StandardCharsets;

/** What a response goes on with that never becomes an event: some bytes first, and others again and again. */
record EndlessBytes(String first, String repeated) {
    private static final String EVENT_START = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    private static final String EVENT = EVENT_START + "x\"},\"finish_reason\":null}]}\n\n";

    /** Returns the bytes of an endless fault. */
    static EndlessBytes of(Fault.Kind kind) {
        return switch (kind) {
            case ENDLESS_SIZE -> new EndlessBytes("", "0");
            case ENDLESS_EXTENSION -> new EndlessBytes("20;", "x");
            case HUGE_CHUNK -> new EndlessBytes("c0000000;", EVENT.trim());
            case ENDLESS_TRAILER -> new EndlessBytes("0\r\nx: ", "x");
            case ENDLESS_COMMENTS -> new EndlessBytes("", chunk(": comment\n\n"));
            case ENDLESS_EVENT -> new EndlessBytes(chunk(EVENT_START), chunk("x"));
            default -> throw new IllegalArgumentException(kind + " is not endless");
        };
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    byte[] firstBytes() {
        return first.getBytes(StandardCharsets.US_ASCII);
    }

    byte[] repeatedBytes() {
        return repeated.getBytes(StandardCharsets.US_ASCII);
    }
}
