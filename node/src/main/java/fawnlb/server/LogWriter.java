package fawnlb.server;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Hands log lines to the handlers that were there before it on a thread of its own. Standard error may be a pipe that
 * is read too slowly or not at all: a write to it then never returns, and it must not be the I/O thread that waits for
 * it.
 */
public final class LogWriter extends Handler {
    /** Lines that may wait; those beyond are counted and left out. */
    public static final int QUEUE_CAPACITY = 1024;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedRecords = new AtomicLong();
    private final Handler[] handlers;
    private volatile boolean isWriting;

    public LogWriter(Handler... handlers) {
        this.handlers = handlers.clone();
        Thread thread = new Thread(this::writeQueuedRecords, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Puts itself before all handlers of the root logger. */
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
                long droppedCount = queue.isEmpty() ? droppedRecords.getAndSet(0) : 0;
                if (droppedCount > 0) {
                    forward(new LogRecord(
                            Level.WARNING, droppedCount + " log lines were left out: nobody read them in time"));
                }
                isWriting = false;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void forward(LogRecord record) {
        for (Handler handler : handlers) {
            handler.publish(record);
        }
    }

    /** Waits until all lines are written, for so many milliseconds at most. */
    public void awaitWritten(long timeoutMillis) throws InterruptedException {
        for (long remainingMillis = timeoutMillis;
                remainingMillis > 0 && (isWriting || !queue.isEmpty());
                remainingMillis--) {
            Thread.sleep(1);
        }
    }

    @Override
    public void flush() {}

    /** The end of the program closes handlers while its last flows are still served; lines go on until it is over. */
    @Override
    public void close() {}
}
