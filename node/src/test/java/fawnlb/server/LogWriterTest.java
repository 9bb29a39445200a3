package fawnlb.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.Test;

public class LogWriterTest {
    /** A handler that blocks its thread until it is released, like a pipe that nobody reads. */
    private static final class BlockedHandler extends Handler {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);
        final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        public void publish(LogRecord record) {
            reached.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            lines.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @Test
    public void fullQueueDropsAndCountsLinesWithoutBlocking() throws Exception {
        int droppedLines = 5;
        BlockedHandler handler = new BlockedHandler();
        LogWriter log = new LogWriter(handler);
        log.publish(new LogRecord(Level.INFO, "first"));
        handler.reached.await();

        for (int i = 0; i < LogWriter.QUEUE_CAPACITY + droppedLines; i++) {
            log.publish(new LogRecord(Level.INFO, "line " + i));
        }
        log.awaitWritten(20);
        assertEquals("the handler is still blocked", List.of(), handler.lines);
        handler.released.countDown();

        Await.waitUntil("all written", () -> handler.lines.size() == LogWriter.QUEUE_CAPACITY + 2);
        assertEquals("first", handler.lines.get(0));
        String lastLine = handler.lines.get(LogWriter.QUEUE_CAPACITY + 1);
        assertTrue(lastLine, lastLine.startsWith("log lines dropped count=5 "));
    }
}
