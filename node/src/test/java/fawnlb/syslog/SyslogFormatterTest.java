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

    private static String format(String host, String id, Map<String, String> data, String message) {
        return new String(
                new SyslogFormatter(16, host, "app", "7").format(6, TIME, id, "flow@32473", data, message),
                StandardCharsets.UTF_8);
    }

    @Test
    public void recordsFollowRfc5424() {
        String head = "<134>1 1970-01-01T00:00:01.000Z ";
        Object[][] cases = {
            {"h", "ID", Map.of("a", "b"), "text", head + "h app 7 ID [flow@32473 a=\"b\"] text"},
            {"", "", Map.of(), "", head + "- app 7 - [flow@32473]"},
            {
                "two words",
                "ID",
                Map.of("k", "q\"b\\c]d"),
                "",
                head + "two_words app 7 ID [flow@32473 k=\"q\\\"b\\\\c\\]d\"]"
            },
            {"h", "I\u00e9", Map.of("a=]\"b", "x\ny"), "a\nb", head + "h app 7 I_ [flow@32473 a___b=\"x y\"] a b"},
        };
        for (Object[] row : cases) {
            @SuppressWarnings("unchecked")
            Map<String, String> data = (Map<String, String>) row[2];
            assertEquals(row[4], format((String) row[0], (String) row[1], data, (String) row[3]));
        }
    }

    @Test
    public void overlongFieldsAreTruncated() {
        Map<String, String> data = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            data.put("parameter-of-a-name-longer-than-32-characters" + i, "\u4e2d".repeat(200));
        }
        byte[] all = new SyslogFormatter(23, "h".repeat(300), "a".repeat(60), "p")
                .format(7, TIME, "i".repeat(40), "e", data, "m".repeat(3000));
        String text = new String(all, StandardCharsets.UTF_8);
        assertTrue(all.length <= SyslogFormatter.MAX_RECORD_BYTES);
        String[] parts = text.split(" ");
        assertEquals(255, parts[2].length());
        assertEquals(48, parts[3].length());
        assertEquals(32, parts[5].length());
        assertTrue(text, text.contains("\"] m") && text.indexOf('\ufffd') < 0);
    }
}
