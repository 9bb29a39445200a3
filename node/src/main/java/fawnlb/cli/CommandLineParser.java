package fawnlb.cli;

import com.beust.jcommander.JCommander;

/** Finds the sub-command that the arguments of the program name. */
final class CommandLineParser {
    private CommandLineParser() {}

    /**
     * Parses the arguments. If they name no sub-command, it prints the usage and ends the process.
     *
     * @throws com.beust.jcommander.ParameterException if they name an unknown one, or its options are wrong
     */
    static Command parse(String... arguments) {
        JCommander commandLine = JCommander.newBuilder()
                .programName("java -jar fawnlb.jar")
                .addCommand("serve", new ServeCommand())
                .addCommand("check", new CheckCommand())
                .addCommand("snapshot", new SnapshotCommand())
                .addCommand("targets", new TargetsCommand())
                .addCommand("rehearse", new RehearseCommand())
                .addCommand("wirehost", new SimulatorCommand())
                .addCommand("version", new VersionCommand())
                .build();
        commandLine.parse(arguments);
        String name = commandLine.getParsedCommand();
        if (name == null) {
            commandLine.usage();
            System.exit(Main.EXIT_USAGE_ERROR);
        }
        return (Command) commandLine.getCommands().get(name).getObjects().get(0);
    }
}
