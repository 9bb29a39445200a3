package fawnlb.cli;

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
    private static final class Stuck extends Handler {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch on = new CountDownLatch(1);
        final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        public void publish(LogRecord record) {
            reached.countDown();
            try {
                on.await();
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
    public void whoeverLogsNeverWaitsAndWhatIsLeftOutIsCounted() throws Exception {
        Stuck stuck = new Stuck();
        LogWriter log = new LogWriter(stuck);
        log.publish(new LogRecord(Level.INFO, "first"));
        stuck.reached.await();
        for (int i = 0; i < LogWriter.ROOM + 5; i++) {
            log.publish(new LogRecord(Level.INFO, "line " + i));
        }
        log.await(20);
        assertEquals(List.of(), stuck.lines);
        stuck.on.countDown();
        Rigged.until("all written", () -> stuck.lines.size() == LogWriter.ROOM + 2);
        assertEquals("first", stuck.lines.get(0));
        assertTrue(stuck.lines.toString(), stuck.lines.get(LogWriter.ROOM + 1).startsWith("5 log lines were left out"));
    }
}
