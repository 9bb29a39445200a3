package fawnlb.snapshot;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot.Entry;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

/**
 * Reads two generations of a snapshot that the code of revision faa3a42 wrote to disk. An instance that is upgraded
 * starts from such files, so every field in them keeps its name, its unit and its meaning.
 */
public class SnapshotCompatibilityTest {
    private static final long SAVED_AT_MILLIS = 1_790_000_000_000L;
    private static final long PREVIOUS_SAVED_AT_MILLIS = SAVED_AT_MILLIS - 30_000;
    /** The first whole number that a double can't hold. */
    private static final long REVISION = 9_007_199_254_740_993L;

    private static final Entry READY = new Entry(
            new DiscoveredEndpoint(
                    EndpointId.of("s-5be2a07c"),
                    "127.0.0.1",
                    9001,
                    "regina-east",
                    "full-rate",
                    3,
                    EndpointPhase.READY,
                    1.5,
                    SAVED_AT_MILLIS - 86_400_000),
            SAVED_AT_MILLIS - 2000,
            SAVED_AT_MILLIS - 750);
    private static final Entry DRAINING = new Entry(
            new DiscoveredEndpoint(
                    EndpointId.of("s-0000000a"),
                    "10.20.30.40",
                    65_535,
                    "regina-west",
                    "half-rate",
                    0,
                    EndpointPhase.DRAINING,
                    0.25,
                    0),
            SAVED_AT_MILLIS - 2000,
            0);
    private static final Entry IPV6 = new Entry(
            new DiscoveredEndpoint(
                    EndpointId.of("canary-\u00e9"), "[2001:db8::1]", 80, "", "", -1, EndpointPhase.READY, 100, 7),
            0,
            SAVED_AT_MILLIS - 1);

    private static final Snapshot CURRENT = new Snapshot(SAVED_AT_MILLIS, REVISION, List.of(READY, DRAINING, IPV6));
    private static final Snapshot PREVIOUS = new Snapshot(PREVIOUS_SAVED_AT_MILLIS, 40, List.of(READY));

    private static Path file(String name) throws URISyntaxException {
        return Path.of(
                SnapshotCompatibilityTest.class.getResource("faa3a42/" + name).toURI());
    }

    @Test
    public void currentGenerationIsReadFieldByField() throws IOException, URISyntaxException {
        Snapshot snapshot = SnapshotStore.read(file("endpoints"));

        assertEquals(1_790_000_000_000L, snapshot.savedAtMillis());
        assertEquals(9_007_199_254_740_993L, snapshot.revision());
        assertEquals(3, snapshot.entries().size());
        Entry ready = snapshot.entries().get(0);
        assertEquals("s-5be2a07c", ready.endpoint().id().name());
        assertEquals("127.0.0.1", ready.endpoint().host());
        assertEquals(9001, ready.endpoint().port());
        assertEquals("regina-east", ready.endpoint().zone());
        assertEquals("full-rate", ready.endpoint().kind());
        assertEquals(3, ready.endpoint().cell());
        assertEquals(EndpointPhase.READY, ready.endpoint().phase());
        assertEquals(1.5, ready.endpoint().size(), 0);
        assertEquals(1_789_913_600_000L, ready.endpoint().upSinceMillis());
        assertEquals(1_789_999_998_000L, ready.lastListedAtMillis());
        assertEquals(1_789_999_999_250L, ready.lastResponseAtMillis());
        assertEquals(1_789_999_999_250L, ready.lastContactAtMillis());
        assertEquals(DRAINING, snapshot.entries().get(1));
        assertEquals(IPV6, snapshot.entries().get(2));
    }

    @Test
    public void previousGenerationIsRead() throws IOException, URISyntaxException {
        assertEquals(PREVIOUS, SnapshotStore.read(file("endpoints.1")));
    }

    @Test
    public void storeReadsTheCurrentGenerationWithoutFaults() throws URISyntaxException {
        SnapshotStore.ReadResult found = new SnapshotStore(file("endpoints")).read(SAVED_AT_MILLIS, 0);

        assertEquals(CURRENT, found.snapshot());
        assertEquals(file("endpoints"), found.file());
        assertFalse(found.isFromFuture());
        assertEquals(List.of(), found.faults());
    }

    /** The former revision must read what this one writes, since a release may be rolled back. */
    @Test
    public void writesTheSameBytes() throws IOException, URISyntaxException {
        assertArrayEquals(Files.readAllBytes(file("endpoints")), SnapshotCodec.encode(CURRENT));
        assertArrayEquals(Files.readAllBytes(file("endpoints.1")), SnapshotCodec.encode(PREVIOUS));
    }
}
