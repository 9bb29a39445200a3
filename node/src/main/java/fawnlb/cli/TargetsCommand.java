package fawnlb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import fawnlb.admin.AdminClient;
import fawnlb.config.AddressParser;
import fawnlb.config.ConfigurationException;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Asks the admin listener of a running server for its backends, and prints them. */
@Parameters(commandDescription = "Print the targets of a running server and their streams")
final class TargetsCommand implements Command {
    @Parameter(
            names = "--admin",
            description = "the server's admin listener, as its --streams file names it",
            required = true)
    private String adminAddress;

    @Parameter(names = "--json", description = "as JSON")
    private boolean asJson;

    @Override
    public void run() throws ConfigurationException, IOException {
        InetSocketAddress address = AddressParser.parse("--admin", adminAddress);
        try {
            System.out.print(asJson ? AdminClient.fetchTargetsAsJson(address) : AdminClient.fetchTargets(address));
        } catch (IOException e) {
            throw new IOException("no answer from " + adminAddress + ": " + e.getMessage(), e);
        }
    }
}
