package fawnlb.metrics;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class LogLineTest {
    @Test
    public void eventComesFirstAndPairsFollowInTheOrderOfTheCalls() {
        String line = LogLine.event("attempt failed")
                .requestId("r-1")
                .backend("10.0.0.7:8000")
                .attempt(2)
                .reason("reset")
                .elapsedNanos(1_999_999)
                .with("bytes", 17)
                .toString();
        assertEquals(
                "attempt failed request_id=r-1 backend=10.0.0.7:8000 attempt=2 reason=reset elapsed_ms=1 bytes=17",
                line);
    }

    /** Guards against a log that discovery fills: an id may be as long as a list. */
    @Test
    public void longIdsAreCut() {
        String id = "x".repeat(101);

        assertEquals(
                "e backend=" + id.substring(1) + "... other=" + id.substring(1),
                LogLine.event("e").backend(id).withId("other", id.substring(1)).toString());
    }

    @Test
    public void backendCanBeNamedByItsId() {
        assertEquals(
                "health check failed backend=s-0000002a",
                LogLine.event("health check failed").backend("s-0000002a").toString());
    }

    @Test
    public void pairWithoutValueIsLeftOut() {
        assertEquals(
                "request received",
                LogLine.event("request received")
                        .requestId(null)
                        .backend(null)
                        .reason(null)
                        .toString());
    }

    @Test
    public void valuesThatWouldBreakThePairsAreQuoted() {
        assertEquals(
                "e k=\"two words\"", LogLine.event("e").with("k", "two words").toString());
        assertEquals("e k=\"a=b\"", LogLine.event("e").with("k", "a=b").toString());
        assertEquals(
                "e k=\"say \\\"no\\\"\"",
                LogLine.event("e").with("k", "say \"no\"").toString());
        assertEquals(
                "e k=\"back\\\\slash\"",
                LogLine.event("e").with("k", "back\\slash").toString());
        assertEquals("e k=\"\"", LogLine.event("e").with("k", "").toString());
    }

    @Test
    public void controlCharactersCannotEndTheLine() {
        assertEquals(
                "e k=\"a\\r\\nb\\t\\u001b[0m\\u007f\"",
                LogLine.event("e").with("k", "a\r\nb\t\u001b[0m\u007f").toString());
    }

    @Test
    public void otherCharactersStayAsTheyAre() {
        assertEquals(
                "e k=/v1/chat?x;[::1]:80,é",
                LogLine.event("e").with("k", "/v1/chat?x;[::1]:80,é").toString());
    }
}
