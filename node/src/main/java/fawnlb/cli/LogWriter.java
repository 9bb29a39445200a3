package fawnlb.cli;

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
final class LogWriter extends Handler {
    /** Lines that may wait; those beyond are counted and left out. */
    static final int ROOM = 1024;

    private final BlockingQueue<LogRecord> waiting = new ArrayBlockingQueue<>(ROOM);
    private final AtomicLong dropped = new AtomicLong();
    private final Handler[] to;
    private volatile boolean writing;

    LogWriter(Handler... to) {
        this.to = to.clone();
        Thread thread = new Thread(this::write, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Puts itself before all handlers of the root logger. */
    static LogWriter install() {
        Logger root = LogManager.getLogManager().getLogger("");
        Handler[] all = root.getHandlers();
        for (Handler handler : all) {
            root.removeHandler(handler);
        }
        LogWriter writer = new LogWriter(all);
        root.addHandler(writer);
        return writer;
    }

    @Override
    public void publish(LogRecord record) {
        if (!waiting.offer(record)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                LogRecord record = waiting.take();
                writing = true;
                pass(record);
                long lost = waiting.isEmpty() ? dropped.getAndSet(0) : 0;
                if (lost > 0) {
                    pass(new LogRecord(Level.WARNING, lost + " log lines were left out: nobody read them in time"));
                }
                writing = false;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pass(LogRecord record) {
        for (Handler handler : to) {
            handler.publish(record);
        }
    }

    /** Waits until all lines are written, for so many milliseconds at most. */
    void await(long millis) throws InterruptedException {
        for (long left = millis; left > 0 && (writing || !waiting.isEmpty()); left--) {
            Thread.sleep(1);
        }
    }

    @Override
    public void flush() {}

    /** The end of the program closes handlers while its last flows are still served; lines go on until it is over. */
    @Override
    public void close() {}
}
