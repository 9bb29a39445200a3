package fawnlb.lab.cli;

import fawnlb.lab.scenario.FleetSize;
import fawnlb.lab.scenario.Scenario;
import fawnlb.lab.scenario.SlowReaders;
import fawnlb.lab.scenario.SnapshotCrash;
import fawnlb.lab.scenario.StalledBackends;
import fawnlb.lab.scenario.StartWithoutDiscovery;
import fawnlb.lab.scenario.StartupTime;
import fawnlb.lab.scenario.StreamFaults;
import fawnlb.lab.soak.Soak;
import java.util.List;
import java.util.Optional;

/** All scenarios of the command line. */
final class ScenarioCatalog {
    private static final List<NamedScenario> SCENARIOS = List.of(
            named(
                    "start-without-discovery",
                    "three nodes start from a restored list while discovery is down, beside no list and a trusted one",
                    new StartWithoutDiscovery()),
            named(
                    "snapshot-crash",
                    "500 kills of a process that writes snapshots: a readable generation remains after each",
                    new SnapshotCrash()),
            named(
                    "start-time",
                    "process start to readiness on half a core, with the class archive and without, in turn",
                    new StartupTime()),
            named(
                    "stream-faults",
                    "every fault at every byte of a response, each pair of API formats, streamed and not: one clear final"
                            + " response each",
                    new StreamFaults()),
            named(
                    "fleet-size",
                    "what a node needs for " + FleetSize.LARGE_FLEET + " servers, beside " + FleetSize.SMALL_FLEET
                            + ", while the list changes all the time",
                    new FleetSize()),
            named(
                    "soak",
                    "two dozen real nodes under overlapping faults of nodes, system calls, backends, discovery and"
                            + " clients",
                    new Soak()),
            new NamedScenario(
                    "stalled-backends",
                    List.of("stalled-boxes"),
                    "two of 14 backends stall in mid-answer: time to detection and service beside a fixed timeout, and no"
                            + " false detections",
                    new StalledBackends()),
            named(
                    "slow-readers",
                    "400 clients that read a byte a second and 100 that stopped: buffered bytes within their limit, no"
                            + " other client affected",
                    new SlowReaders()));

    private ScenarioCatalog() {}

    private static NamedScenario named(String name, String purpose, Scenario scenario) {
        return new NamedScenario(name, List.of(), purpose, scenario);
    }

    /** Returns all scenarios in the order in which they are shown. */
    static List<NamedScenario> all() {
        return SCENARIOS;
    }

    /** Returns the scenario with this name or former name. */
    static Optional<NamedScenario> find(String name) {
        return SCENARIOS.stream().filter(scenario -> scenario.matches(name)).findFirst();
    }
}
