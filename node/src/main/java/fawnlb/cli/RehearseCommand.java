package fawnlb.cli;

import com.beust.jcommander.Parameters;
import fawnlb.config.ConfigurationException;
import fawnlb.server.ClassArchiveWarmup;
import java.io.IOException;

/** Runs {@link ClassArchiveWarmup} on a server that is started as the {@code serve} command starts it. */
@Parameters(commandDescription = "Start a server, serve one request from a built-in backend, and end")
final class RehearseCommand implements Command {
    @Override
    public void run() throws ConfigurationException, IOException {
        ClassArchiveWarmup.run(file -> {
            ServeCommand serve = (ServeCommand) CommandLineParser.parse("serve", "--config", file);
            return serve.startServer();
        });
        System.exit(0);
    }
}
