package fawnlb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EndpointIdTest {
    private static final int FLEET_SIZE = 3200;

    /** Guards against endpoints that were one because a part of their ids was taken for the whole. */
    @Test
    void idsThatShareAPartAreDifferent() {
        List<String> names = List.of(
                "s-0000000a", "t-0000000a", "s-0000000A", "s-t-0000000a", "0000000a", "-0000000a", "s-0000000a ", "10");
        Set<EndpointId> ids = new HashSet<>();
        Set<Long> ringSeeds = new HashSet<>();
        for (String name : names) {
            ids.add(EndpointId.of(name));
            ringSeeds.add(EndpointId.of(name).ringSeed());
        }
        assertEquals(names.size(), ids.size());
        assertEquals(names.size(), ringSeeds.size());
    }

    /**
     * The seed is the first half of the MurmurHash3 (x64, 128 bits, seed 0) of the name, by that hash's published
     * example. Instances of two releases that differ in it would send the requests of a session to different endpoints.
     */
    @Test
    void ringSeedIsTheSameInEachRelease() {
        assertEquals(0xcbd8a7b341bd9b02L, EndpointId.of("hello").ringSeed());
    }

    @Test
    void equalSeedsDoNotMakeTwoNamesOne() {
        EndpointId first = new EndpointId("a", 7);
        EndpointId second = new EndpointId("b", 7);
        assertNotEquals(first, second);
        assertEquals(first.hashCode(), second.hashCode());
        assertTrue(first.compareTo(second) < 0);
        assertEquals(2, new HashSet<>(List.of(first, second)).size());
    }

    @Test
    void numberIsItsOwnSeed() {
        EndpointId id = EndpointId.ofNumber(0xffff_ffffL);
        assertEquals("4294967295", id.name());
        assertEquals(0xffff_ffffL, id.ringSeed());
    }

    /** A large fleet whose ids have one prefix for each zone. */
    @Test
    void seedsOfALargeFleetDiffer() {
        Set<Long> ringSeeds = new HashSet<>();
        for (String prefix : List.of("regina-east-s-", "saskatoon-north-s-", "s-")) {
            for (int number = 0; number < FLEET_SIZE; number++) {
                ringSeeds.add(
                        EndpointId.of(prefix + String.format("%08x", number)).ringSeed());
            }
        }
        assertEquals(3 * FLEET_SIZE, ringSeeds.size());
    }
}
