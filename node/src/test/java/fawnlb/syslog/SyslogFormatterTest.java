package fawnlb.syslog;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.Test;

public class SyslogFormatterTest {
    private static final Instant TIME = Instant.ofEpochMilli(1_000);
    /** Priority of facility 16 and severity 6, version and time. */
    private static final String HEADER_START = "<134>1 1970-01-01T00:00:01.000Z ";

    private static String format(String hostName, String messageId, Map<String, String> parameters, String message) {
        SyslogFormatter formatter = new SyslogFormatter(16, hostName, "app", "7");
        StructuredData data = new StructuredData("flow@32473", parameters);
        byte[] record = formatter.format(Severity.INFORMATIONAL, TIME, messageId, data, message);
        return new String(record, StandardCharsets.UTF_8);
    }

    @Test
    public void recordHasHeaderStructuredDataAndMessage() {
        assertEquals(
                HEADER_START + "h app 7 ID [flow@32473 a=\"b\"] text", format("h", "ID", Map.of("a", "b"), "text"));
    }

    @Test
    public void emptyFieldsAreNilValues() {
        assertEquals(HEADER_START + "- app 7 - [flow@32473]", format("", "", Map.of(), ""));
    }

    @Test
    public void parameterValuesAreEscaped() {
        assertEquals(
                HEADER_START + "two_words app 7 ID [flow@32473 k=\"q\\\"b\\\\c\\]d\"]",
                format("two words", "ID", Map.of("k", "q\"b\\c]d"), ""));
    }

    @Test
    public void invalidCharactersAreReplaced() {
        assertEquals(
                HEADER_START + "h app 7 I_ [flow@32473 a___b=\"x y\"] a b",
                format("h", "I\u00e9", Map.of("a=]\"b", "x\ny"), "a\nb"));
    }

    @Test
    public void overlongFieldsAreTruncated() {
        Map<String, String> parameters = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            parameters.put("parameter-of-a-name-longer-than-32-characters" + i, "\u4e2d".repeat(200));
        }
        SyslogFormatter formatter = new SyslogFormatter(23, "h".repeat(300), "a".repeat(60), "p");
        StructuredData data = new StructuredData("e", parameters);

        byte[] record = formatter.format(Severity.DEBUG, TIME, "i".repeat(40), data, "m".repeat(3000));

        assertTrue(record.length <= SyslogFormatter.MAX_RECORD_BYTES);
        String text = new String(record, StandardCharsets.UTF_8);
        String[] fields = text.split(" ");
        assertEquals("host name", 255, fields[2].length());
        assertEquals("application name", 48, fields[3].length());
        assertEquals("message id", 32, fields[5].length());
        assertTrue(text, text.contains("\"] m") && text.indexOf('\ufffd') < 0);
    }
}
