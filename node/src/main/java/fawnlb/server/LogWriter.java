package fawnlb.server;

import fawnlb.eventloop.ThreadSafe;
import fawnlb.metrics.LogLine;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * A log handler that passes records to other handlers on a thread of its own. Standard error may be a pipe that is read
 * slowly or not at all; then a write to it does not return, and it must not be the I/O thread that waits. Records for
 * which the queue has no room are dropped and counted.
 */
@ThreadSafe
public final class LogWriter extends Handler {
    /** How many records may wait to be written. */
    static final int QUEUE_CAPACITY = 1024;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedRecords = new AtomicLong();
    private final Handler[] handlers;
    private volatile boolean isWriting;

    /** Creates a writer and starts its thread. */
    LogWriter(Handler... handlers) {
        this.handlers = handlers.clone();
        Thread thread = new Thread(this::writeQueuedRecords, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Puts a new writer before all handlers of the root logger. */
    public static LogWriter install() {
        Logger root = LogManager.getLogManager().getLogger("");
        Handler[] installedHandlers = root.getHandlers();
        for (Handler handler : installedHandlers) {
            root.removeHandler(handler);
        }
        LogWriter writer = new LogWriter(installedHandlers);
        root.addHandler(writer);
        return writer;
    }

    @Override
    public void publish(LogRecord record) {
        if (!queue.offer(record)) {
            droppedRecords.incrementAndGet();
        }
    }

    private void writeQueuedRecords() {
        try {
            while (true) {
                LogRecord record = queue.take();
                isWriting = true;
                forward(record);
                if (queue.isEmpty()) {
                    reportDroppedRecords();
                }
                isWriting = false;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportDroppedRecords() {
        long droppedCount = droppedRecords.getAndSet(0);
        if (droppedCount > 0) {
            String line = LogLine.event("log lines dropped")
                    .with("count", droppedCount)
                    .reason("standard error was not read in time")
                    .toString();
            forward(new LogRecord(Level.WARNING, line));
        }
    }

    private void forward(LogRecord record) {
        for (Handler handler : handlers) {
            handler.publish(record);
        }
    }

    /** Waits until all records are written, or the time is up. */
    public void awaitWritten(long timeoutMillis) throws InterruptedException {
        for (long remainingMillis = timeoutMillis; remainingMillis > 0 && hasUnwrittenRecords(); remainingMillis--) {
            Thread.sleep(1);
        }
    }

    private boolean hasUnwrittenRecords() {
        return isWriting || !queue.isEmpty();
    }

    @Override
    public void flush() {}

    /** Does nothing: the platform closes handlers before the last requests have been answered, and they log on. */
    @Override
    public void close() {}
}
