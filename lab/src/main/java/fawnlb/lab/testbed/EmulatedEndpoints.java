package fawnlb.lab.testbed;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import java.util.List;

/** Emulated backends as discovery lists them. */
public final class EmulatedEndpoints {
    /** The zones of the fleet; a backend's zone follows from its id. */
    public static final List<String> ZONES = List.of("regina-east", "saskatoon-north");
    /** The host types of the fleet. */
    public static final List<String> PROFILE_NAMES = List.of(EngineProfile.FULL_RATE, EngineProfile.SLOW_RATE);

    private static final String HOST = "127.0.0.1";

    private EmulatedEndpoints() {}

    /** Returns the id of the backend with this number. */
    public static String id(int number) {
        return String.format("s-%08x", 0x5eed0000 + number * 7919);
    }

    /** Returns backends in this phase that have passed their slow start. */
    public static List<DiscoveredEndpoint> of(List<EngineServer> backends, EndpointPhase phase) {
        return backends.stream().map(backend -> of(backend, phase, 0)).toList();
    }

    /** Returns a backend in this phase with the time of its start, in milliseconds since the Unix epoch. */
    public static DiscoveredEndpoint of(EngineServer backend, EndpointPhase phase, long startedAtMillis) {
        String zone = ZONES.get(Math.floorMod(backend.id().hashCode(), ZONES.size()));
        return listed(
                backend.id(),
                backend.address().getPort(),
                zone,
                backend.profile().name(),
                phase,
                startedAtMillis);
    }

    /** Returns the endpoint with this id at a port of the loopback address. */
    public static DiscoveredEndpoint listed(
            String id, int port, String zone, String profileName, EndpointPhase phase, long startedAtMillis) {
        return new DiscoveredEndpoint(EndpointId.of(id), HOST, port, zone, profileName, 0, phase, 1, startedAtMillis);
    }
}
