package fawnlb.cli;

import com.beust.jcommander.Parameter;
import fawnlb.config.ConfigurationException;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import fawnlb.decision.LoadBalancerSettings;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** A command that reads the configuration files of a server. */
abstract class ConfiguredCommand implements Command {
    @Parameter(names = "--config", description = "the server's configuration (default: $PROXY_CONFIG)")
    private String configurationFile = System.getenv("PROXY_CONFIG");

    @Parameter(names = "--broker", description = "the teams' contracts; without it the messages API is off")
    private String messagesFile;

    @Parameter(names = "--start", description = "how to start without discovery; without it no snapshots are written")
    private String startupFile;

    @Parameter(
            names = "--streams",
            description = "the timeouts of streams, and the admin listener; without it, the defaults")
    private String streamsFile;

    /** Reads the main file, and prints a warning for each setting that gets its default. */
    final ServerConfiguration readServerConfiguration() throws ConfigurationException {
        if (configurationFile == null) {
            throw new ConfigurationException(null, null, "no configuration: give --config FILE or set PROXY_CONFIG");
        }
        ServerConfiguration configuration = ServerConfiguration.read(Path.of(configurationFile), System.getenv());
        configuration.warnings().forEach(System.err::println);
        return configuration;
    }

    /**
     * Reads the main file again. Discovery's address is taken from the file alone, since the environment of a process
     * that runs cannot change.
     */
    final ServerConfiguration rereadServerConfiguration() throws ConfigurationException {
        Map<String, String> environment = new HashMap<>(System.getenv());
        environment.remove(ServerConfiguration.DISCOVERY_VARIABLE);
        return ServerConfiguration.read(Path.of(configurationFile), environment);
    }

    /** Reads the file of the messages API, or returns null if none is given. */
    final MessagesConfiguration readMessagesConfiguration() throws ConfigurationException {
        return messagesFile == null ? null : MessagesConfiguration.read(Path.of(messagesFile));
    }

    final StartupConfiguration readStartupConfiguration(LoadBalancerSettings settings) throws ConfigurationException {
        return startupFile == null
                ? StartupConfiguration.defaults(settings)
                : StartupConfiguration.read(Path.of(startupFile), settings);
    }

    final StreamConfiguration readStreamConfiguration() throws ConfigurationException {
        return streamsFile == null ? StreamConfiguration.defaults() : StreamConfiguration.read(Path.of(streamsFile));
    }
}
