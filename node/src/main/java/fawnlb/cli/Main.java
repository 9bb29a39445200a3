package fawnlb.cli;

import com.beust.jcommander.ParameterException;
import fawnlb.config.ConfigurationException;
import fawnlb.server.LogWriter;
import java.io.IOException;

/** The program: it prepares logging, runs the sub-command, and turns what fails into a line and an exit code. */
public final class Main {
    /** The exit code for wrong options and configurations. */
    static final int EXIT_USAGE_ERROR = 2;
    /** The exit code of a process that SIGTERM ended, which is 128 and the number of the signal. */
    static final int EXIT_TERMINATED = 128 + 15;

    private static final int EXIT_FAILURE = 1;
    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    /** One line for each record. */
    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    private Main() {}

    /** Runs the command that the arguments name, and exits with its status. */
    public static void main(String[] arguments) {
        disableManagementBeans();
        setDefaultProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
        LogWriter logWriter = LogWriter.install();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitLogWritten(logWriter), "log-flush"));
        try {
            CommandLineParser.parse(arguments).run();
        } catch (ParameterException | ConfigurationException e) {
            exit(e.getMessage(), EXIT_USAGE_ERROR);
        } catch (IOException e) {
            exit(e.getMessage(), EXIT_FAILURE);
        } catch (RuntimeException e) {
            // An uncaught exception would end this thread alone, and leave a process that serves nobody.
            exit(e.toString(), EXIT_FAILURE);
        }
    }

    private static void exit(String message, int code) {
        System.err.println("fawnlb: " + message);
        System.exit(code);
    }

    /**
     * Keeps XNIO and JBoss Threads from putting beans into the platform's management server, which nothing here reads:
     * it takes 300 classes and a tenth of the time of a start. Both do without it where it cannot be had. An operator
     * who wants the beans sets the properties.
     */
    private static void disableManagementBeans() {
        setDefaultProperty("javax.management.builder.initial", "none");
        setDefaultProperty("jboss.threads.eqe.register-mbean", "false");
    }

    private static void setDefaultProperty(String name, String value) {
        if (System.getProperty(name) == null) {
            System.setProperty(name, value);
        }
    }

    private static void awaitLogWritten(LogWriter logWriter) {
        try {
            logWriter.awaitWritten(LOG_FLUSH_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
