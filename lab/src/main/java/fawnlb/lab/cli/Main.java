package fawnlb.lab.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import fawnlb.lab.scenario.FleetSize;
import fawnlb.lab.scenario.Scenario;
import fawnlb.lab.scenario.SlowReaders;
import fawnlb.lab.scenario.SnapshotCrash;
import fawnlb.lab.scenario.Soak;
import fawnlb.lab.scenario.StalledBackends;
import fawnlb.lab.scenario.StartWithoutDiscovery;
import fawnlb.lab.scenario.StartupTime;
import fawnlb.lab.scenario.StreamFaults;
import java.util.ArrayList;
import java.util.List;

/** The lab's command line. */
public final class Main {
    private static final List<Scenario> SCENARIOS = List.of(
            new StartWithoutDiscovery(),
            new SnapshotCrash(),
            new StartupTime(),
            new StreamFaults(),
            new FleetSize(),
            new Soak(),
            new StalledBackends(),
            new SlowReaders());

    private Main() {}

    @Parameters(commandDescription = "Play a named scenario")
    private static final class RunCommand {
        @Parameter(description = "NAME", required = true)
        private List<String> names = new ArrayList<>();

        @Parameter(names = "--seed", description = "what everything is drawn from")
        private long seed = 1;

        @Parameter(names = "--quick", description = "a shorter form with the same claims")
        private boolean quick;
    }

    @Parameters(commandDescription = "Name the scenarios")
    private static final class ListCommand {}

    /** Exit codes: 0 held, 1 fell short, 2 wrong words. */
    public static void main(String[] args) throws Exception {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tT %4$s %5$s%6$s%n");
        RunCommand run = new RunCommand();
        JCommander commandLine = JCommander.newBuilder()
                .programName("java -jar fawnlb-lab.jar")
                .addCommand("run", run)
                .addCommand("list", new ListCommand())
                .build();
        try {
            commandLine.parse(args);
            if ("list".equals(commandLine.getParsedCommand())) {
                SCENARIOS.forEach(s -> System.out.printf("%-26s %s%n", s.name(), s.purpose()));
                return;
            }
            if (commandLine.getParsedCommand() == null || run.names.size() != 1) {
                throw new ParameterException("expected 'list' or 'run NAME'");
            }
            Scenario scenario = SCENARIOS.stream()
                    .filter(s -> s.name().equals(run.names.get(0)))
                    .findFirst()
                    .orElseThrow(
                            () -> new ParameterException("no scenario '" + run.names.get(0) + "'; 'list' names them"));
            System.exit(scenario.run(run.seed, run.quick).print(System.out) ? 0 : 1);
        } catch (ParameterException e) {
            System.err.println("fawnlb-lab: " + e.getMessage());
            System.exit(2);
        }
    }
}
