package fawnlb.cli;

import fawnlb.config.ConfigurationException;
import java.io.IOException;

/** A sub-command of the program, with its options read. */
interface Command {
    /**
     * Does what the command is for. It returns when that is done, or has been started on other threads.
     *
     * @throws ConfigurationException if an option or a file that it names cannot be used
     * @throws IOException if anything else fails; the message is for the operator
     */
    void run() throws ConfigurationException, IOException;
}
