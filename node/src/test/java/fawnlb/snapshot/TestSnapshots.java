package fawnlb.snapshot;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot.Entry;
import java.util.Arrays;

/** Snapshots for tests. */
final class TestSnapshots {
    static final long NOW_MILLIS = 1_700_000_000_000L;

    private TestSnapshots() {}

    /** A snapshot of ready endpoints with these identifiers; every field has a value of its own. */
    static Snapshot snapshot(long savedAtMillis, String... ids) {
        return new Snapshot(
                savedAtMillis,
                41,
                Arrays.stream(ids).map(id -> entry(savedAtMillis, id)).toList());
    }

    private static Entry entry(long savedAtMillis, String id) {
        DiscoveredEndpoint endpoint = new DiscoveredEndpoint(
                EndpointId.of(id),
                "127.0.0.1",
                9000,
                "regina-east",
                "full-rate",
                3,
                EndpointPhase.READY,
                1.5,
                savedAtMillis - 5);
        return new Entry(endpoint, savedAtMillis, savedAtMillis - 7);
    }
}
