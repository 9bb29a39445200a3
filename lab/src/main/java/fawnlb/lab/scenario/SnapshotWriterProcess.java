package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.IntStream;

/** Writes one snapshot after another until it is killed, and says which revision is on disk. */
public final class SnapshotWriterProcess {
    private static final int ENDPOINT_COUNT = 500;

    private SnapshotWriterProcess() {}

    public static void main(String[] args) throws IOException {
        SnapshotStore store = new SnapshotStore(Path.of(args[0]));
        for (long revision = Long.parseLong(args[1]); ; revision++) {
            store.write(snapshot(revision));
            System.out.println(revision);
            System.out.flush();
        }
    }

    private static Snapshot snapshot(long revision) {
        return new Snapshot(
                revision,
                revision,
                IntStream.range(0, ENDPOINT_COUNT)
                        .mapToObj(i -> new Snapshot.Entry(
                                new DiscoveredEndpoint(
                                        String.format("s-%08x", i),
                                        "127.0.0.1",
                                        9000,
                                        "regina-east",
                                        "full-rate",
                                        0,
                                        EndpointPhase.READY,
                                        1,
                                        revision),
                                revision,
                                0))
                        .toList());
    }
}
