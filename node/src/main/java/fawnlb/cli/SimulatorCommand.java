package fawnlb.cli;

import com.beust.jcommander.Parameters;
import fawnlb.simulator.SimulatorHost;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Runs load balancers for the simulator, which talks to them over standard input and output. */
@Parameters(commandDescription = "Host load balancers for the simulator, on standard input and output")
final class SimulatorCommand implements Command {
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    @Override
    public void run() throws IOException {
        FileInputStream in = new FileInputStream(FileDescriptor.in);
        FileOutputStream out = new FileOutputStream(FileDescriptor.out);
        new SimulatorHost(new BufferedInputStream(in, INPUT_BUFFER_BYTES), out).run();
    }
}
