package fawnlb.syslog;

import fawnlb.eventloop.ThreadSafe;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.Map;

/** Formats records with one element of structured data as RFC 5424 requires. Immutable. */
@ThreadSafe
public final class SyslogFormatter {
    /** RFC 5424, section 6.1: a receiver should accept records of this size. */
    static final int MAX_RECORD_BYTES = 2048;
    /** Keeps one long value, such as a model's name, from displacing the parameters behind it. */
    private static final int MAX_VALUE_BYTES = 256;
    /** RFC 5424, section 6: the lengths of the header's fields and of names in structured data. */
    private static final int MAX_HOST_NAME_LENGTH = 255;

    private static final int MAX_APPLICATION_NAME_LENGTH = 48;
    private static final int MAX_PROCESS_ID_LENGTH = 128;
    private static final int MAX_MESSAGE_ID_LENGTH = 32;
    private static final int MAX_SD_NAME_LENGTH = 32;
    private static final int SEVERITIES_PER_FACILITY = 8;
    private static final String NIL_VALUE = "-";
    private static final DateTimeFormatter TIMESTAMP =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final int facility;
    private final String hostName;
    private final String applicationName;
    private final String processId;

    /**
     * Creates a formatter for the records of one process.
     *
     * @param facility the facility's numerical code (RFC 5424, section 6.2.1)
     */
    public SyslogFormatter(int facility, String hostName, String applicationName, String processId) {
        this.facility = facility;
        this.hostName = headerField(hostName, MAX_HOST_NAME_LENGTH);
        this.applicationName = headerField(applicationName, MAX_APPLICATION_NAME_LENGTH);
        this.processId = headerField(processId, MAX_PROCESS_ID_LENGTH);
    }

    /** Formats a record. One that is too long loses its message first, and then its last parameters. */
    public byte[] format(Severity severity, Instant time, String messageId, StructuredData data, String message) {
        String header = header(severity, time, messageId);
        String element = element(data, MAX_RECORD_BYTES - header.length() - 1);
        String text = message.isEmpty() ? "" : ' ' + message.replace('\n', ' ');
        byte[] record = (header + element + text).getBytes(StandardCharsets.UTF_8);
        return record.length <= MAX_RECORD_BYTES
                ? record
                : Arrays.copyOf(record, characterBoundary(record, MAX_RECORD_BYTES));
    }

    private String header(Severity severity, Instant time, String messageId) {
        int priority = facility * SEVERITIES_PER_FACILITY + severity.code();
        return "<" + priority + ">1 " + TIMESTAMP.format(time) + ' ' + hostName + ' ' + applicationName + ' '
                + processId + ' ' + headerField(messageId, MAX_MESSAGE_ID_LENGTH) + ' ';
    }

    /** Parameters that don't fit into the size are left out; the closing bracket comes on top of it. */
    private static String element(StructuredData data, int maxBytes) {
        StringBuilder element = new StringBuilder("[").append(parameterName(data.id()));
        for (Map.Entry<String, String> entry : data.parameters().entrySet()) {
            String value = escape(truncate(entry.getValue(), MAX_VALUE_BYTES));
            String parameter = ' ' + parameterName(entry.getKey()) + "=\"" + value + '"';
            if (utf8Length(element.toString()) + utf8Length(parameter) <= maxBytes) {
                element.append(parameter);
            }
        }
        return element.append(']').toString();
    }

    private static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the last index up to {@code index} that does not split a character of UTF-8. */
    private static int characterBoundary(byte[] bytes, int index) {
        int boundary = index;
        while (boundary > 0 && (bytes[boundary] & 0xc0) == 0x80) {
            boundary--;
        }
        return boundary;
    }

    private static String truncate(String text, int maxBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= maxBytes
                ? text
                : new String(bytes, 0, characterBoundary(bytes, maxBytes), StandardCharsets.UTF_8);
    }

    /** Returns a field of printable ASCII characters, or the nil value. */
    private static String headerField(String text, int maxLength) {
        String clean = text.replaceAll("[^!-~]", "_");
        return clean.isEmpty() ? NIL_VALUE : clean.substring(0, Math.min(maxLength, clean.length()));
    }

    /** Returns an SD-NAME, which is a header field without {@code =}, {@code ]} and quotation marks. */
    private static String parameterName(String text) {
        return headerField(text.replaceAll("[=\\]\"]", "_"), MAX_SD_NAME_LENGTH);
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("]", "\\]")
                .replaceAll("[\\x00-\\x1f\\x7f]", " ");
    }
}
