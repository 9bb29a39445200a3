package fawnlb.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

public class SnapshotPrinterTest {
    private static final long SECOND_MILLIS = 1000;
    private static final long MINUTE_MILLIS = 60 * SECOND_MILLIS;
    private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
    private static final long NOW_MILLIS = 1000 * 24 * HOUR_MILLIS;

    private static Snapshot.Entry entry(String id, long startedMillis, long listedMillis, long respondedMillis) {
        DiscoveredEndpoint endpoint = new DiscoveredEndpoint(
                EndpointId.of(id), "10.0.0.7", 80, "east", "big", 0, EndpointPhase.READY, 1, startedMillis);
        return new Snapshot.Entry(endpoint, listedMillis, respondedMillis);
    }

    private static List<String> print(Snapshot snapshot) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SnapshotPrinter.print(snapshot, NOW_MILLIS, new PrintStream(out, true, StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    public void endpointsArePrintedInTheOrderOfTheirIdsWithTheirAges() {
        Snapshot.Entry second = entry("s-2", 0, NOW_MILLIS - 90 * MINUTE_MILLIS, NOW_MILLIS + 2 * MINUTE_MILLIS);
        Snapshot.Entry first = entry("s-1", NOW_MILLIS - 26 * HOUR_MILLIS, NOW_MILLIS - 1234, NOW_MILLIS - 61_000);

        List<String> lines = print(new Snapshot(NOW_MILLIS - 5500, 9, List.of(second, first)));

        assertEquals(4, lines.size());
        assertEquals("written 1972-09-26T23:59:54.500Z, 5.5s ago; revision 9; 2 target(s)", lines.get(0));
        assertTrue(lines.get(2), lines.get(2).matches("s-1 +10.0.0.7:80 +east +big +ready +1d2h +1.2s +1m1s"));
        assertTrue(lines.get(3), lines.get(3).matches("s-2 +10.0.0.7:80 +east +big +ready +- +1h30m +-2m0s"));
    }
}
