package fawnlb;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Captures the messages that are logged under a logger's name, from its creation until it is closed. */
public final class CapturedLog extends Handler implements AutoCloseable {
    private final Logger logger;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    public CapturedLog(String name) {
        logger = Logger.getLogger(name);
        logger.addHandler(this);
    }

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
