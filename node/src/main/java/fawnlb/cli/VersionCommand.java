package fawnlb.cli;

import com.beust.jcommander.Parameters;

/** Prints the version that the jar's manifest names. */
@Parameters(commandDescription = "Print the version")
final class VersionCommand implements Command {
    @Override
    public void run() {
        System.out.println("fawnlb " + Main.class.getPackage().getImplementationVersion());
    }
}
