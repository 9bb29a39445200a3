package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.status;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/**
 * Guards against repeats in another zone of requests that may have run, where only the backends of one zone know their
 * idempotency keys: zones that the settings did not find under discovery's names all counted as the first one.
 */
@RunWith(Parameterized.class)
public class IdempotencyZoneTest {
    private static final String FAILING_ZONE = "regina east";
    private static final String OTHER_ZONE = "saskatoon, north";
    /** The failing zone's name but for a character, and the same in the simulator's form. */
    private static final String ZONE_WRITTEN_ALIKE = "regina_east";

    private static final int SESSIONS = 40;

    private final List<String> zonesInSettings;
    private final String otherZoneName;

    public IdempotencyZoneTest(List<String> zonesInSettings, String otherZoneName) {
        this.zonesInSettings = zonesInSettings;
        this.otherZoneName = otherZoneName;
    }

    @Parameterized.Parameters(name = "settings name {0}, the other zone is {1}")
    public static List<Object[]> zonesInSettings() {
        return List.of(
                new Object[] {List.of(FAILING_ZONE, OTHER_ZONE), OTHER_ZONE},
                new Object[] {List.of("regina_east", "saskatoon__north"), OTHER_ZONE},
                new Object[] {List.of("another zone"), OTHER_ZONE},
                new Object[] {List.of(FAILING_ZONE), OTHER_ZONE},
                new Object[] {List.of(), OTHER_ZONE},
                new Object[] {List.of(FAILING_ZONE), ZONE_WRITTEN_ALIKE},
                new Object[] {List.of(ZONE_WRITTEN_ALIKE), ZONE_WRITTEN_ALIKE},
                new Object[] {List.of("regina,east"), ZONE_WRITTEN_ALIKE});
    }

    private static String ready(int number, FakeHttpServer backend, String zone) {
        return EndpointLists.ready(number, backend).replace("\"locality\":\"a\"", "\"locality\":\"" + zone + '"');
    }

    @Test
    public void requestThatMayHaveRunIsRepeatedInItsZoneAlone() throws Exception {
        try (FakeHttpServer failing = new FakeHttpServer((request, connection) -> write(connection, status(500)));
                FakeHttpServer sameZone = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer otherZone = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.fixedList()
                        .zones(zonesInSettings.toArray(new String[0]))
                        .endpoints(
                                ready(1, failing, FAILING_ZONE),
                                ready(2, sameZone, FAILING_ZONE),
                                ready(3, otherZone, otherZoneName)))) {
            for (int i = 0; i < SESSIONS; i++) {
                harness.exchange(keyedRequest(i));
            }

            assertEquals("ran in both zones", Set.of(), sharedRequestIds(failing, otherZone));
            assertFalse(
                    "repeats within the zone",
                    sharedRequestIds(failing, sameZone).isEmpty());
            assertFalse("requests of the other zone", otherZone.requests.isEmpty());
        }
    }

    private static String keyedRequest(int session) {
        String key = Integer.toHexString(0x9e3779b9 * (session + 1));
        return chat("id-" + session, 3000, sessionKey(key)).replace("X-Class: chat", "X-Class: by zone");
    }

    private static Set<String> sharedRequestIds(FakeHttpServer first, FakeHttpServer second) {
        Set<String> ids = requestIds(first);
        ids.retainAll(requestIds(second));
        return ids;
    }

    private static Set<String> requestIds(FakeHttpServer backend) {
        Set<String> ids = new HashSet<>();
        backend.requests.forEach(request -> ids.add(request.requestId()));
        return ids;
    }
}
