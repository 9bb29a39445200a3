package fawnlb.lab.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import fawnlb.lab.scenario.RunLength;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The lab's command line. */
public final class Main {
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    @Parameters(commandDescription = "Run a named scenario")
    private static final class RunCommand {
        @Parameter(description = "NAME", required = true)
        private List<String> names = new ArrayList<>();

        @Parameter(names = "--seed", description = "determines all that is random")
        private long seed = 1;

        @Parameter(names = "--quick", description = "a shorter run with the same checks")
        private boolean quick;
    }

    @Parameters(commandDescription = "List the scenarios")
    private static final class ListCommand {}

    /** Exit status: 0 if all checks held, 1 if some fell short, 2 for wrong arguments. */
    public static void main(String[] args) throws IOException, InterruptedException {
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
                ScenarioCatalog.all()
                        .forEach(scenario -> System.out.printf("%-26s %s%n", scenario.name(), scenario.purpose()));
                return;
            }
            if (commandLine.getParsedCommand() == null || run.names.size() != 1) {
                throw new ParameterException("expected 'list' or 'run NAME'");
            }
            System.exit(runScenario(run) ? EXIT_PASSED : EXIT_FAILED);
        } catch (ParameterException e) {
            System.err.println("fawnlb-lab: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static boolean runScenario(RunCommand run) throws IOException, InterruptedException {
        String name = run.names.get(0);
        NamedScenario named = ScenarioCatalog.find(name)
                .orElseThrow(() -> new ParameterException("no scenario '" + name + "'; 'list' names them"));
        if (!named.name().equals(name)) {
            System.err.println("fawnlb-lab: '" + name + "' is now called '" + named.name() + "'; both names work");
        }
        RunLength length = run.quick ? RunLength.QUICK : RunLength.FULL;
        return named.scenario().run(run.seed, length).print(System.out);
    }
}
