package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.testbed.EmulatedEndpoints;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The process that {@link SnapshotCrash} kills: it writes one snapshot after another and prints the revision of each
 * when it is on disk.
 */
public final class SnapshotWriterProcess {
    private static final int ENDPOINT_COUNT = 500;
    private static final int PORT = 9000;

    private SnapshotWriterProcess() {}

    /** Writes snapshots to the file that is the first argument, from the revision that is the second. */
    public static void main(String[] args) throws IOException {
        SnapshotStore store = new SnapshotStore(Path.of(args[0]));
        for (long revision = Long.parseLong(args[1]); ; revision++) {
            store.write(createSnapshot(revision));
            System.out.println(revision);
            System.out.flush();
        }
    }

    private static Snapshot createSnapshot(long revision) {
        List<Snapshot.Entry> entries = IntStream.range(0, ENDPOINT_COUNT)
                .mapToObj(number -> new Snapshot.Entry(createEndpoint(number, revision), revision, 0))
                .toList();
        return new Snapshot(revision, revision, entries);
    }

    private static DiscoveredEndpoint createEndpoint(int number, long startedAtMillis) {
        String id = String.format("s-%08x", number);
        String zone = EmulatedEndpoints.ZONES.get(0);
        return EmulatedEndpoints.listed(id, PORT, zone, EngineProfile.FULL_RATE, EndpointPhase.READY, startedAtMillis);
    }
}
