package fawnlb.http;

import fawnlb.metrics.LogLine;
import java.io.IOException;
import java.util.logging.Logger;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** Makes the close of a connection a reset, which drops what the kernel has not sent. */
final class ConnectionReset {
    private static final Logger LOG = Logger.getLogger(ConnectionReset.class.getName());

    private ConnectionReset() {}

    /** Sets that the connection is reset when it is closed. If that can't be set, it is closed as any other. */
    static void resetOnClose(StreamConnection connection) {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            LOG.fine(() -> LogLine.event("connection is closed without a reset")
                    .reason(e.getMessage())
                    .toString());
        }
    }
}
