package fawnlb;

import fawnlb.wire.Drill;
import java.io.BufferedInputStream;
import java.io.FileInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code drill} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar fawnlb.jar drill");
            System.exit(2);
        }
        try {
            new Drill(new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out)).run();
        } catch (IOException e) {
            System.err.println("fawnlb: " + e.getMessage());
            System.exit(1);
        }
    }
}
