package fawnlb.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import fawnlb.admin.AdminClient;
import fawnlb.config.BrokerConfig;
import fawnlb.config.NodeConfig;
import fawnlb.config.StartConfig;
import fawnlb.config.StreamConfig;
import fawnlb.decision.Balancer.Settings;
import fawnlb.snapshot.SnapshotStore;
import fawnlb.wire.WireHost;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/** The command line. */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());
    private static final int WRONG = 2;
    /** As a process that SIGTERM ends; supervisors know it. */
    private static final int TERMINATED = 128 + 15;

    private static final long LAST_LINES_MS = 200;
    /** One line a record, unless whoever starts the program wants another form. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /** A sub-command. */
    private interface Command {
        void run() throws Exception;
    }

    /** Where a node's configuration is. */
    private static class Configured {
        @Parameter(names = "--config", description = "the node's configuration (default: $PROXY_CONFIG)")
        private String config = System.getenv("PROXY_CONFIG");

        @Parameter(names = "--broker", description = "the teams' contracts; without it the messages front is off")
        private String broker;

        @Parameter(names = "--start", description = "how to start without discovery; without it nothing is remembered")
        private String start;

        @Parameter(
                names = "--streams",
                description = "when streams are given up, and the admin listener; without it, the usual")
        private String streams;

        NodeConfig read() throws NodeConfig.Bad {
            if (config == null) {
                throw new NodeConfig.Bad("no configuration: give --config FILE or set PROXY_CONFIG");
            }
            NodeConfig read = NodeConfig.read(Path.of(config), System.getenv());
            read.complaints().forEach(System.err::println);
            return read;
        }

        /** Reads the file again. Where the list is comes from the file now: the environment can't change. */
        synchronized void reload(Node node) {
            try {
                Map<String, String> environment = new HashMap<>(System.getenv());
                environment.remove("PROXY_DISCOVERY");
                node.reload(NodeConfig.read(Path.of(config), environment));
            } catch (NodeConfig.Bad e) {
                LOG.warning("configuration not reloaded, the old settings stay: " + e.getMessage());
            }
        }

        /** The planned end; a second signal changes nothing. */
        void end(Node node) {
            try {
                node.drain();
            } finally {
                System.exit(TERMINATED);
            }
        }

        BrokerConfig broker() throws NodeConfig.Bad {
            return broker == null ? null : BrokerConfig.read(Path.of(broker));
        }

        StreamConfig streams() throws NodeConfig.Bad {
            return streams == null ? StreamConfig.none() : StreamConfig.read(Path.of(streams));
        }

        StartConfig start(Settings settings) throws NodeConfig.Bad {
            return start == null ? StartConfig.none(settings) : StartConfig.read(Path.of(start), settings);
        }
    }

    @Parameters(commandDescription = "Run one node until it is told to end")
    private static final class Serve extends Configured implements Command {
        private Node node;

        @Override
        public void run() throws Exception {
            NodeConfig read = read();
            node = new Node(read, broker(), start(read.settings()), streams());
            if (!Signals.handle("HUP", () -> reload(node))) {
                LOG.warning("SIGHUP is ignored by whoever started this process: the configuration can't be read again");
            }
            // By a handler and not by a shutdown hook alone, at which the platform would close the log at once; before
            // the node
            // lets clients in, for the signal may come between its first answer and its last step.
            Signals.handle("TERM", () -> end(node));
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        }
    }

    @Parameters(commandDescription = "Read a configuration and say what is wrong with it")
    private static final class Check extends Configured implements Command {
        @Override
        public void run() throws Exception {
            NodeConfig read = read();
            System.out.println(read.name() + ": listens on " + read.listen() + ", "
                    + read.settings().classes().size() + " class(es), "
                    + (read.known() == null ? 0 : read.known().members().size()) + " known target(s)");
            BrokerConfig teams = broker();
            if (teams != null) {
                System.out.println("broker: listens on " + teams.listen() + ", "
                        + teams.contracts().teams().size() + " team(s)");
            }
            StartConfig begin = start(read.settings());
            System.out.println("start: "
                    + (begin.snapshot() == null
                            ? "nothing is remembered"
                            : "the list is remembered in " + begin.snapshot()));
            StreamConfig streams = streams();
            System.out.println("streams: given up after " + streams.rules().pause() / 1_000_000 + " to "
                    + streams.rules().mostSilence() / 1_000_000 + " ms of silence; admin listener "
                    + (streams.admin() == null ? "off" : "on " + streams.admin()));
        }
    }

    @Parameters(commandDescription = "Start a node, serve one request from a target of its own, and end")
    private static final class Rehearse implements Command {
        @Override
        public void run() throws Exception {
            Rehearsal.run(config -> {
                Serve serve = (Serve) command("serve", "--config", config);
                serve.run();
                return serve.node;
            });
            System.exit(0);
        }
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class Wire implements Command {
        @Override
        public void run() throws IOException {
            new WireHost(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        }
    }

    @Parameters(commandDescription = "Print a remembered list: snapshot show FILE")
    private static final class Remembers implements Command {
        @Parameter(description = "show FILE")
        private List<String> words = new ArrayList<>();

        @Override
        public void run() throws NodeConfig.Bad {
            if (words.size() != 2 || !words.get(0).equals("show")) {
                throw new NodeConfig.Bad("snapshot: expected 'show FILE'");
            }
            try {
                SnapshotTable.print(SnapshotStore.read(Path.of(words.get(1))), System.currentTimeMillis(), System.out);
            } catch (NoSuchFileException e) {
                throw new NodeConfig.Bad(words.get(1) + ": no such file");
            } catch (IOException e) {
                throw new NodeConfig.Bad(words.get(1) + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Ask a running node for its targets and their streams")
    private static final class BackendsCommand implements Command {
        @Parameter(
                names = "--admin",
                description = "the node's admin listener, as its --streams file has it",
                required = true)
        private String admin;

        @Parameter(names = "--json", description = "as JSON")
        private boolean json;

        @Override
        public void run() throws Exception {
            try {
                System.out.print(AdminClient.backends(NodeConfig.address("--admin", admin), json));
            } catch (IOException e) {
                throw new IOException("no answer from " + admin + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Print the version")
    private static final class Version implements Command {
        @Override
        public void run() {
            System.out.println("fawnlb " + Main.class.getPackage().getImplementationVersion());
        }
    }

    /** The sub-command that the words name, with its options read. */
    private static Command command(String... words) {
        JCommander line = JCommander.newBuilder()
                .programName("java -jar fawnlb.jar")
                .addCommand("serve", new Serve())
                .addCommand("check", new Check())
                .addCommand("snapshot", new Remembers())
                .addCommand("targets", new BackendsCommand())
                .addCommand("rehearse", new Rehearse())
                .addCommand("wirehost", new Wire())
                .addCommand("version", new Version())
                .build();
        line.parse(words);
        if (line.getParsedCommand() == null) {
            line.usage();
            System.exit(WRONG);
        }
        return (Command)
                line.getCommands().get(line.getParsedCommand()).getObjects().get(0);
    }

    /**
     * XNIO and JBoss Threads put beans into the platform's management server, which nothing here reads: it takes 300
     * classes and a tenth of a start. Both do without it where it can't be had; who wants it sets the properties.
     */
    private static void withoutManagementBeans() {
        for (String[] pair : new String[][] {
            {"javax.management.builder.initial", "none"}, {"jboss.threads.eqe.register-mbean", "false"}
        }) {
            if (System.getProperty(pair[0]) == null) {
                System.setProperty(pair[0], pair[1]);
            }
        }
    }

    private static void lastLines(LogWriter log) {
        try {
            log.await(LAST_LINES_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] args) {
        withoutManagementBeans();
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        }
        LogWriter log = LogWriter.install();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> lastLines(log), "last lines"));
        try {
            command(args).run();
        } catch (ParameterException | NodeConfig.Bad e) {
            System.err.println("fawnlb: " + e.getMessage());
            System.exit(WRONG);
        } catch (Exception e) {
            System.err.println("fawnlb: " + (e instanceof IOException ? e.getMessage() : e));
            System.exit(1);
        }
    }
}
