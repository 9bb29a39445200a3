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
    /** A handler whose reader has gone away until it is let go on. */
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
        BlockedHandler handler = new BlockedHandler();
        LogWriter log = new LogWriter(handler);
        log.publish(new LogRecord(Level.INFO, "first"));
        handler.reached.await();
        for (int i = 0; i < LogWriter.QUEUE_CAPACITY + 5; i++) {
            log.publish(new LogRecord(Level.INFO, "line " + i));
        }
        log.awaitWritten(20);
        assertEquals(List.of(), handler.lines);
        handler.released.countDown();
        Await.waitUntil("all written", () -> handler.lines.size() == LogWriter.QUEUE_CAPACITY + 2);
        assertEquals("first", handler.lines.get(0));
        assertTrue(
                handler.lines.toString(),
                handler.lines.get(LogWriter.QUEUE_CAPACITY + 1).startsWith("log lines dropped count=5 "));
    }
}
