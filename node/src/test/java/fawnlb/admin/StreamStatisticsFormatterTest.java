package fawnlb.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.stream.StreamState;
import fawnlb.stream.StreamStatistics;
import java.util.List;
import java.util.Map;
import org.junit.Test;

public class StreamStatisticsFormatterTest {
    private static final List<StreamStatistics> STATISTICS = List.of(
            new StreamStatistics(0x4d, 2, Map.of(StreamState.STREAMING, 2), Map.of("whole", 7L), 3_500_000_000L, 64),
            new StreamStatistics(0x4e, 0, Map.of(), Map.of(), 0, 0));

    private static String address(long backend) {
        return "127.0.0.1:" + backend;
    }

    @Test
    public void jsonHasAnObjectForEachBackend() {
        assertEquals(
                "[{\"target\":\"0000004d\",\"address\":\"127.0.0.1:77\",\"open\":2,\"held_bytes\":64,"
                        + "\"cut_after_ms\":3500,\"states\":{\"flowing\":2},\"ends\":{\"whole\":7}},"
                        + "{\"target\":\"0000004e\",\"address\":\"127.0.0.1:78\",\"open\":0,\"held_bytes\":0,"
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
        assertTrue(lines.get(1), lines.get(1).matches("0000004d +127.0.0.1:77 +2 +64 B +3500 ms +flowing 2 +whole 7"));
        assertTrue(lines.get(2), lines.get(2).matches("0000004e +127.0.0.1:78 +0 +0 B +0 ms +- +-"));
    }
}
