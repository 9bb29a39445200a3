package fawnlb.syslog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.Map;

/** Formats records as RFC 5424 wants them, with one element of structured data. */
public final class SyslogFormatter {
    /** RFC 5424, 6.1: a receiver should be able to take so many octets. */
    static final int MAX_RECORD_BYTES = 2048;

    private static final int MAX_VALUE_LENGTH = 256;
    private static final DateTimeFormatter TIMESTAMP =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final int facility;
    private final String hostName;
    private final String applicationName;
    private final String processId;

    public SyslogFormatter(int facility, String host, String app, String process) {
        this.facility = facility;
        this.hostName = headerField(host, 255);
        this.applicationName = headerField(app, 48);
        this.processId = headerField(process, 128);
    }

    /** One record; over-long ones lose their message first, then their last parameters. */
    public byte[] format(
            int severity, Instant time, String messageId, String element, Map<String, String> data, String message) {
        String header = "<" + (facility * 8 + severity) + ">1 " + TIMESTAMP.format(time) + ' ' + hostName + ' '
                + applicationName + ' ' + processId + ' ' + headerField(messageId, 32) + ' ';
        StringBuilder structured = new StringBuilder("[").append(parameterName(element));
        int remainingBytes = MAX_RECORD_BYTES - header.length() - 1;
        for (Map.Entry<String, String> entry : data.entrySet()) {
            String parameter = ' ' + parameterName(entry.getKey()) + "=\""
                    + escape(truncate(entry.getValue(), MAX_VALUE_LENGTH)) + '"';
            if (utf8Length(structured.toString()) + utf8Length(parameter) <= remainingBytes) {
                structured.append(parameter);
            }
        }
        byte[] record = (header + structured.append(']') + (message.isEmpty() ? "" : ' ' + message.replace('\n', ' ')))
                .getBytes(StandardCharsets.UTF_8);
        return record.length <= MAX_RECORD_BYTES
                ? record
                : Arrays.copyOf(record, characterBoundary(record, MAX_RECORD_BYTES));
    }

    private static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The last place up to {@code at} that does not split a character. */
    private static int characterBoundary(byte[] bytes, int at) {
        while (at > 0 && (bytes[at] & 0xc0) == 0x80) {
            at--;
        }
        return at;
    }

    private static String truncate(String text, int maxLength) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        return all.length <= maxLength
                ? text
                : new String(all, 0, characterBoundary(all, maxLength), StandardCharsets.UTF_8);
    }

    /** PRINTUSASCII up to a length, or the nil value. */
    private static String headerField(String text, int maxLength) {
        String clean = text.replaceAll("[^!-~]", "_");
        return clean.isEmpty() ? "-" : clean.substring(0, Math.min(maxLength, clean.length()));
    }

    /** An SD-NAME: besides, no '=', ']' or '"'. */
    private static String parameterName(String text) {
        return headerField(text.replaceAll("[=\\]\"]", "_"), 32);
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("]", "\\]")
                .replaceAll("[\\x00-\\x1f\\x7f]", " ");
    }
}
