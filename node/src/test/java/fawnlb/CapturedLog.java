package fawnlb;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Captures the messages of a logger and of those below it, from its creation until it is closed. */
public final class CapturedLog extends Handler implements AutoCloseable {
    private final Logger logger;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    public CapturedLog(String loggerName) {
        logger = Logger.getLogger(loggerName);
        logger.addHandler(this);
    }

    /** Returns the messages so far. */
    public List<String> lines() {
        return lines;
    }

    @Override
    public void publish(LogRecord record) {
        lines.add(record.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
