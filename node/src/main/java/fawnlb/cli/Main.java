package fawnlb.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import fawnlb.admin.AdminClient;
import fawnlb.config.AddressParser;
import fawnlb.config.ConfigurationException;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.server.ClassArchiveWarmup;
import fawnlb.server.LogWriter;
import fawnlb.server.Server;
import fawnlb.server.SignalHandlers;
import fawnlb.simulator.SimulatorHost;
import fawnlb.snapshot.SnapshotStore;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/** The command line. */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());
    private static final int EXIT_USAGE_ERROR = 2;
    /** As a process that SIGTERM ends; supervisors know it. */
    private static final int EXIT_TERMINATED = 128 + 15;

    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;
    /** One line a record, unless whoever starts the program wants another form. */
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /** A sub-command. */
    private interface Command {
        void run() throws Exception;
    }

    /** Where a node's configuration is. */
    private static class ConfiguredCommand {
        @Parameter(names = "--config", description = "the node's configuration (default: $PROXY_CONFIG)")
        private String configurationFile = System.getenv("PROXY_CONFIG");

        @Parameter(names = "--broker", description = "the teams' contracts; without it the messages front is off")
        private String messagesFile;

        @Parameter(names = "--start", description = "how to start without discovery; without it nothing is remembered")
        private String startupFile;

        @Parameter(
                names = "--streams",
                description = "when streams are given up, and the admin listener; without it, the usual")
        private String streamsFile;

        ServerConfiguration readServerConfiguration() throws ConfigurationException {
            if (configurationFile == null) {
                throw new ConfigurationException(
                        null, null, "no configuration: give --config FILE or set PROXY_CONFIG");
            }
            ServerConfiguration configuration = ServerConfiguration.read(Path.of(configurationFile), System.getenv());
            configuration.warnings().forEach(System.err::println);
            return configuration;
        }

        /** Reads the file again. Where the list is comes from the file now: the environment can't change. */
        synchronized void reloadConfiguration(Server server) {
            try {
                Map<String, String> environment = new HashMap<>(System.getenv());
                environment.remove("PROXY_DISCOVERY");
                server.reload(ServerConfiguration.read(Path.of(configurationFile), environment));
            } catch (ConfigurationException e) {
                LOG.warning("configuration not reloaded, the old settings stay: " + e.getMessage());
            }
        }

        /** The planned end; a second signal changes nothing. */
        void shutDownAndExit(Server server) {
            try {
                server.shutDownGracefully();
            } finally {
                System.exit(EXIT_TERMINATED);
            }
        }

        MessagesConfiguration readMessagesConfiguration() throws ConfigurationException {
            return messagesFile == null ? null : MessagesConfiguration.read(Path.of(messagesFile));
        }

        StreamConfiguration readStreamConfiguration() throws ConfigurationException {
            return streamsFile == null
                    ? StreamConfiguration.defaults()
                    : StreamConfiguration.read(Path.of(streamsFile));
        }

        StartupConfiguration readStartupConfiguration(LoadBalancerSettings settings) throws ConfigurationException {
            return startupFile == null
                    ? StartupConfiguration.defaults(settings)
                    : StartupConfiguration.read(Path.of(startupFile), settings);
        }
    }

    @Parameters(commandDescription = "Run one node until it is told to end")
    private static final class ServeCommand extends ConfiguredCommand implements Command {
        private Server server;

        @Override
        public void run() throws Exception {
            ServerConfiguration configuration = readServerConfiguration();
            server = new Server(
                    configuration,
                    readMessagesConfiguration(),
                    readStartupConfiguration(configuration.settings()),
                    readStreamConfiguration());
            if (!SignalHandlers.install("HUP", () -> reloadConfiguration(server))) {
                LOG.warning("SIGHUP is ignored by whoever started this process: the configuration can't be read again");
            }
            // By a handler and not by a shutdown hook alone, at which the platform would close the log at once; before
            // the node
            // lets clients in, for the signal may come between its first answer and its last step.
            SignalHandlers.install("TERM", () -> shutDownAndExit(server));
            server.start();
            Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "drain"));
        }
    }

    @Parameters(commandDescription = "Read a configuration and say what is wrong with it")
    private static final class CheckCommand extends ConfiguredCommand implements Command {
        @Override
        public void run() throws Exception {
            ServerConfiguration configuration = readServerConfiguration();
            System.out.println(configuration.name() + ": listens on " + configuration.listenAddress() + ", "
                    + configuration.settings().requestClasses().size() + " class(es), "
                    + (configuration.initialEndpoints() == null
                            ? 0
                            : configuration.initialEndpoints().endpoints().size())
                    + " known target(s)");
            MessagesConfiguration messages = readMessagesConfiguration();
            if (messages != null) {
                System.out.println("broker: listens on " + messages.listenAddress() + ", "
                        + messages.contracts().teams().size() + " team(s)");
            }
            StartupConfiguration startup = readStartupConfiguration(configuration.settings());
            System.out.println("start: "
                    + (startup.snapshotFile() == null
                            ? "nothing is remembered"
                            : "the list is remembered in " + startup.snapshotFile()));
            StreamConfiguration streams = readStreamConfiguration();
            System.out.println("streams: given up after " + streams.timeouts().backendPauseNanos() / 1_000_000 + " to "
                    + streams.timeouts().maxSilenceNanos() / 1_000_000 + " ms of silence; admin listener "
                    + (streams.adminAddress() == null ? "off" : "on " + streams.adminAddress()));
        }
    }

    @Parameters(commandDescription = "Start a node, serve one request from a target of its own, and end")
    private static final class RehearseCommand implements Command {
        @Override
        public void run() throws Exception {
            ClassArchiveWarmup.run(config -> {
                ServeCommand serve = (ServeCommand) parseCommand("serve", "--config", config);
                serve.run();
                return serve.server;
            });
            System.exit(0);
        }
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class SimulatorCommand implements Command {
        @Override
        public void run() throws IOException {
            new SimulatorHost(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        }
    }

    @Parameters(commandDescription = "Print a remembered list: snapshot show FILE")
    private static final class SnapshotCommand implements Command {
        @Parameter(description = "show FILE")
        private List<String> arguments = new ArrayList<>();

        @Override
        public void run() throws ConfigurationException {
            if (arguments.size() != 2 || !arguments.get(0).equals("show")) {
                throw new ConfigurationException(null, "snapshot", "expected 'show FILE'");
            }
            try {
                SnapshotPrinter.print(
                        SnapshotStore.read(Path.of(arguments.get(1))), System.currentTimeMillis(), System.out);
            } catch (IOException e) {
                throw ConfigurationException.unreadable(Path.of(arguments.get(1)), e);
            }
        }
    }

    @Parameters(commandDescription = "Ask a running node for its targets and their streams")
    private static final class TargetsCommand implements Command {
        @Parameter(
                names = "--admin",
                description = "the node's admin listener, as its --streams file has it",
                required = true)
        private String adminAddress;

        @Parameter(names = "--json", description = "as JSON")
        private boolean asJson;

        @Override
        public void run() throws Exception {
            try {
                System.out.print(AdminClient.fetchTargets(AddressParser.parse("--admin", adminAddress), asJson));
            } catch (IOException e) {
                throw new IOException("no answer from " + adminAddress + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Print the version")
    private static final class VersionCommand implements Command {
        @Override
        public void run() {
            System.out.println("fawnlb " + Main.class.getPackage().getImplementationVersion());
        }
    }

    /** The sub-command that the words name, with its options read. */
    private static Command parseCommand(String... arguments) {
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
        if (commandLine.getParsedCommand() == null) {
            commandLine.usage();
            System.exit(EXIT_USAGE_ERROR);
        }
        return (Command) commandLine
                .getCommands()
                .get(commandLine.getParsedCommand())
                .getObjects()
                .get(0);
    }

    /**
     * XNIO and JBoss Threads put beans into the platform's management server, which nothing here reads: it takes 300
     * classes and a tenth of a start. Both do without it where it can't be had; who wants it sets the properties.
     */
    private static void disableManagementBeans() {
        for (String[] property : new String[][] {
            {"javax.management.builder.initial", "none"}, {"jboss.threads.eqe.register-mbean", "false"}
        }) {
            if (System.getProperty(property[0]) == null) {
                System.setProperty(property[0], property[1]);
            }
        }
    }

    private static void awaitLogWritten(LogWriter logWriter) {
        try {
            logWriter.awaitWritten(LOG_FLUSH_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] args) {
        disableManagementBeans();
        if (System.getProperty(LOG_FORMAT_PROPERTY) == null) {
            System.setProperty(LOG_FORMAT_PROPERTY, "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        }
        LogWriter logWriter = LogWriter.install();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitLogWritten(logWriter), "last lines"));
        try {
            parseCommand(args).run();
        } catch (ParameterException | ConfigurationException e) {
            System.err.println("fawnlb: " + e.getMessage());
            System.exit(EXIT_USAGE_ERROR);
        } catch (Exception e) {
            System.err.println("fawnlb: " + (e instanceof IOException ? e.getMessage() : e));
            System.exit(1);
        }
    }
}
