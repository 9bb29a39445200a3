package fawnlb.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.stream.StreamState;
import fawnlb.stream.StreamStatistics;
import java.util.List;
import java.util.Map;
import org.junit.Test;

public class StreamStatisticsFormatterTest {
    private static final EndpointId WITH_STREAMS = EndpointId.of("s-0000004d");
    private static final List<StreamStatistics> STATISTICS = List.of(
            new StreamStatistics(
                    WITH_STREAMS, 2, Map.of(StreamState.STREAMING, 2), Map.of("whole", 7L), 3_500_000_000L, 64),
            new StreamStatistics(EndpointId.of("s-0000004e"), 0, Map.of(), Map.of(), 0, 0));

    private static String address(EndpointId backend) {
        return backend.equals(WITH_STREAMS) ? "127.0.0.1:77" : "127.0.0.1:78";
    }

    @Test
    public void jsonHasAnObjectForEachBackend() {
        assertEquals(
                "[{\"target\":\"s-0000004d\",\"address\":\"127.0.0.1:77\",\"open\":2,\"held_bytes\":64,"
                        + "\"cut_after_ms\":3500,\"states\":{\"flowing\":2},\"ends\":{\"whole\":7}},"
                        + "{\"target\":\"s-0000004e\",\"address\":\"127.0.0.1:78\",\"open\":0,\"held_bytes\":0,"
                        + "\"cut_after_ms\":0,\"states\":{},\"ends\":{}}]",
                StreamStatisticsFormatter.toJson(STATISTICS, StreamStatisticsFormatterTest::address));
    }

    @Test
    public void tableHasAHeaderAndARowForEachBackend() {
        List<String> lines = StreamStatisticsFormatter.toText(STATISTICS, StreamStatisticsFormatterTest::address)
                .lines()
                .toList();

        assertEquals(3, lines.size());
        assertTrue(lines.get(0), lines.get(0).startsWith("target "));
        assertTrue(
                lines.get(1), lines.get(1).matches("s-0000004d +127.0.0.1:77 +2 +64 B +3500 ms +flowing 2 +whole 7"));
        assertTrue(lines.get(2), lines.get(2).matches("s-0000004e +127.0.0.1:78 +0 +0 B +0 ms +- +-"));
    }

    /** Guards against rows that discovery makes up: an id is text from outside. */
    @Test
    public void idCannotBeginARowOfItsOwn() {
        StreamStatistics backend = new StreamStatistics(EndpointId.of("s-1\ns-2"), 0, Map.of(), Map.of(), 0, 0);

        List<String> lines = StreamStatisticsFormatter.toText(List.of(backend), id -> "-")
                .lines()
                .toList();

        assertEquals(2, lines.size());
        assertTrue(lines.get(1), lines.get(1).startsWith("s-1?s-2 "));
    }
}
