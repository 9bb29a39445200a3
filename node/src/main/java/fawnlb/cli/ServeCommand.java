package fawnlb.cli;

import com.beust.jcommander.Parameters;
import fawnlb.config.ConfigurationException;
import fawnlb.config.ServerConfiguration;
import fawnlb.metrics.LogLine;
import fawnlb.server.Server;
import fawnlb.server.SignalHandlers;
import java.io.IOException;
import java.util.logging.Logger;

/** Runs a server: SIGHUP makes it read its configuration again, SIGTERM shuts it down gracefully. */
@Parameters(commandDescription = "Run one server until SIGTERM")
final class ServeCommand extends ConfiguredCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());

    @Override
    public void run() throws ConfigurationException, IOException {
        startServer();
    }

    /** Starts a server that runs until the process ends. */
    Server startServer() throws ConfigurationException, IOException {
        ServerConfiguration configuration = readServerConfiguration();
        Server server = new Server(
                configuration,
                readMessagesConfiguration(),
                readStartupConfiguration(configuration.settings()),
                readStreamConfiguration());
        if (!SignalHandlers.install("HUP", () -> reload(server))) {
            LOG.warning(LogLine.event("SIGHUP is ignored, the configuration can't be read again")
                    .reason("the process was started with the signal ignored, as nohup does")
                    .toString());
        }
        // SIGTERM has a handler, since the platform closes the log at once when only a shutdown hook is left to run.
        // The
        // handler comes before the start, since the signal may come between the first answer and the end of the start.
        SignalHandlers.install("TERM", () -> shutDownAndExit(server));
        server.start();
        Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "graceful-shutdown"));
        return server;
    }

    private synchronized void reload(Server server) {
        try {
            server.reload(rereadServerConfiguration());
        } catch (ConfigurationException e) {
            LOG.warning(LogLine.event("configuration not reloaded, the old settings stay")
                    .reason(e.getMessage())
                    .toString());
        }
    }

    /** Shuts the server down and ends the process. A second signal waits for the shutdown of the first. */
    private static void shutDownAndExit(Server server) {
        try {
            server.shutDownGracefully();
        } finally {
            System.exit(Main.EXIT_TERMINATED);
        }
    }
}
