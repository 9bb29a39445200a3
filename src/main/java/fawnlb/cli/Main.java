package fawnlb.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import fawnlb.config.BrokerConfig;
import fawnlb.config.NodeConfig;
import fawnlb.wire.WireHost;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/** The command line. */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());
    private static final int WRONG = 2;
    /** One line a record, unless whoever starts the program wants another form. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() { }

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

        BrokerConfig broker() throws NodeConfig.Bad {
            return broker == null ? null : BrokerConfig.read(Path.of(broker));
        }
    }

    @Parameters(commandDescription = "Run one node until it is told to end")
    private static final class Serve extends Configured implements Command {
        @Override
        public void run() throws Exception {
            Node node = new Node(read(), broker());
            Hangup.handle(() -> reload(node));
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        }
    }

    @Parameters(commandDescription = "Read a configuration and say what is wrong with it")
    private static final class Check extends Configured implements Command {
        @Override
        public void run() throws Exception {
            NodeConfig read = read();
            System.out.println(read.name() + ": listens on " + read.listen() + ", " + read.settings().classes().size()
                    + " class(es), " + (read.known() == null ? 0 : read.known().members().size()) + " known target(s)");
            BrokerConfig teams = broker();
            if (teams != null) {
                System.out.println("broker: listens on " + teams.listen() + ", " + teams.contracts().teams().size()
                        + " team(s)");
            }
        }
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class Wire implements Command {
        @Override
        public void run() throws IOException {
            new WireHost(new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out)).run();
        }
    }

    @Parameters(commandDescription = "Print the version")
    private static final class Version implements Command {
        @Override
        public void run() {
            System.out.println("fawnlb " + Main.class.getPackage().getImplementationVersion());
        }
    }

    public static void main(String[] args) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        }
        JCommander line = JCommander.newBuilder().programName("java -jar fawnlb.jar").addCommand("serve", new Serve())
                .addCommand("check", new Check()).addCommand("wirehost", new Wire())
                .addCommand("version", new Version()).build();
        try {
            line.parse(args);
            if (line.getParsedCommand() == null) {
                line.usage();
                System.exit(WRONG);
            }
            List<Object> commands = line.getCommands().get(line.getParsedCommand()).getObjects();
            ((Command) commands.get(0)).run();
        } catch (ParameterException | NodeConfig.Bad e) {
            System.err.println("fawnlb: " + e.getMessage());
            System.exit(WRONG);
        } catch (Exception e) {
            System.err.println("fawnlb: " + e);
            System.exit(1);
        }
    }
}
