package fawnlb.cli;

import com.beust.jcommander.Parameters;
import fawnlb.config.ConfigurationException;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;

/** Reads the configuration files and prints what they say, a line for each. */
@Parameters(commandDescription = "Read a configuration and say what is wrong with it")
final class CheckCommand extends ConfiguredCommand {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @Override
    public void run() throws ConfigurationException {
        ServerConfiguration configuration = readServerConfiguration();
        print(configuration);
        MessagesConfiguration messages = readMessagesConfiguration();
        if (messages != null) {
            print(messages);
        }
        print(readStartupConfiguration(configuration.settings()));
        print(readStreamConfiguration());
    }

    private static void print(ServerConfiguration configuration) {
        int endpoints = configuration.initialEndpoints() == null
                ? 0
                : configuration.initialEndpoints().endpoints().size();
        System.out.println(configuration.name() + ": listens on " + configuration.listenAddress() + ", "
                + configuration.settings().requestClasses().size() + " class(es), " + endpoints + " known target(s)");
    }

    private static void print(MessagesConfiguration messages) {
        System.out.println("broker: listens on " + messages.listenAddress() + ", "
                + messages.contracts().teams().size() + " team(s)");
    }

    private static void print(StartupConfiguration startup) {
        String snapshots = startup.snapshotFile() == null ? "no snapshots" : "snapshots in " + startup.snapshotFile();
        System.out.println("start: " + snapshots);
    }

    private static void print(StreamConfiguration streams) {
        long pauseMillis = streams.timeouts().backendPauseNanos() / NANOS_PER_MILLI;
        long maxSilenceMillis = streams.timeouts().maxSilenceNanos() / NANOS_PER_MILLI;
        String admin = streams.adminAddress() == null ? "off" : "on " + streams.adminAddress();
        System.out.println("streams: ended after " + pauseMillis + " to " + maxSilenceMillis
                + " ms of silence; admin listener " + admin);
    }
}
