package fawnlb.syslog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.Map;

/** Formats records as RFC 5424 wants them, with one element of structured data. */
public final class SyslogRecord {
    /** RFC 5424, 6.1: a receiver should be able to take so many octets. */
    static final int MAX_RECORD_BYTES = 2048;

    private static final int MAX_VALUE_LENGTH = 256;
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final int facility;
    private final String host;
    private final String app;
    private final String process;

    public SyslogRecord(int facility, String host, String app, String process) {
        this.facility = facility;
        this.host = header(host, 255);
        this.app = header(app, 48);
        this.process = header(process, 128);
    }

    /** One record; over-long ones lose their message first, then their last parameters. */
    public byte[] format(
            int severity, Instant time, String messageId, String element, Map<String, String> data, String message) {
        String head = "<" + (facility * 8 + severity) + ">1 " + TIME.format(time) + ' ' + host + ' ' + app + ' '
                + process + ' ' + header(messageId, 32) + ' ';
        StringBuilder structured = new StringBuilder("[").append(name(element));
        int room = MAX_RECORD_BYTES - head.length() - 1;
        for (Map.Entry<String, String> entry : data.entrySet()) {
            String parameter =
                    ' ' + name(entry.getKey()) + "=\"" + escape(cut(entry.getValue(), MAX_VALUE_LENGTH)) + '"';
            if (bytes(structured.toString()) + bytes(parameter) <= room) {
                structured.append(parameter);
            }
        }
        byte[] all = (head + structured.append(']') + (message.isEmpty() ? "" : ' ' + message.replace('\n', ' ')))
                .getBytes(StandardCharsets.UTF_8);
        return all.length <= MAX_RECORD_BYTES ? all : Arrays.copyOf(all, boundary(all, MAX_RECORD_BYTES));
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The last place up to {@code at} that does not split a character. */
    private static int boundary(byte[] bytes, int at) {
        while (at > 0 && (bytes[at] & 0xc0) == 0x80) {
            at--;
        }
        return at;
    }

    private static String cut(String text, int most) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        return all.length <= most ? text : new String(all, 0, boundary(all, most), StandardCharsets.UTF_8);
    }

    /** PRINTUSASCII up to a length, or the nil value. */
    private static String header(String text, int most) {
        String clean = text.replaceAll("[^!-~]", "_");
        return clean.isEmpty() ? "-" : clean.substring(0, Math.min(most, clean.length()));
    }

    /** An SD-NAME: besides, no '=', ']' or '"'. */
    private static String name(String text) {
        return header(text.replaceAll("[=\\]\"]", "_"), 32);
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("]", "\\]")
                .replaceAll("[\\x00-\\x1f\\x7f]", " ");
    }
}
