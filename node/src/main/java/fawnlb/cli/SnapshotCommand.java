package fawnlb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import fawnlb.config.ConfigurationException;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Prints a snapshot of the endpoint list. */
@Parameters(commandDescription = "Print a snapshot of the endpoint list: snapshot show FILE")
final class SnapshotCommand implements Command {
    @Parameter(description = "show FILE")
    private List<String> arguments = new ArrayList<>();

    @Override
    public void run() throws ConfigurationException {
        if (arguments.size() != 2 || !arguments.get(0).equals("show")) {
            throw new ConfigurationException(null, "snapshot", "expected 'show FILE'");
        }
        Snapshot snapshot = readSnapshot(Path.of(arguments.get(1)));
        SnapshotPrinter.print(snapshot, System.currentTimeMillis(), System.out);
    }

    private static Snapshot readSnapshot(Path file) throws ConfigurationException {
        try {
            return SnapshotStore.read(file);
        } catch (IOException e) {
            throw ConfigurationException.unreadable(file, e);
        }
    }
}
