package fawnlb.discovery;

import static org.junit.Assert.assertEquals;

import fawnlb.eventloop.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

public class DiscoveryFailureLogTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String SILENT = "discovery call failed call=watch reason=silent";

    private final Logger logger = Logger.getLogger(DiscoveryFailureLog.class.getName());
    private final ManualTimers timers = new ManualTimers(0);
    private final DiscoveryFailureLog failureLog = new DiscoveryFailureLog(timers);
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(record.getLevel() + " " + record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @Before
    public void captureLines() {
        logger.addHandler(handler);
    }

    @After
    public void stopCapturing() {
        logger.removeHandler(handler);
    }

    @Test
    public void equalFailuresAreOneLineInTenSeconds() {
        for (int second = 0; second < 11; second++) {
            failureLog.logFailure("watch", "silent");
            timers.advance(NANOS_PER_SECOND);
        }

        assertEquals(List.of("INFO " + SILENT, "INFO " + SILENT + " suppressed=9"), lines);
    }

    @Test
    public void otherFailureIsLoggedAtOnce() {
        failureLog.logFailure("watch", "silent");
        failureLog.logFailure("watch", "no connection");

        assertEquals(
                List.of("INFO " + SILENT, "INFO discovery call failed call=watch reason=\"no connection\""), lines);
    }

    @Test
    public void answerAfterFailuresIsLoggedOnce() {
        failureLog.logFailure("watch", "silent");
        timers.advance(NANOS_PER_SECOND);
        failureLog.logFailure("watch", "silent");
        failureLog.logRecovery(4);
        failureLog.logRecovery(5);

        assertEquals(
                List.of("INFO " + SILENT, "INFO discovery answered revision=4 failed_calls=2 elapsed_ms=1000"), lines);
    }

    @Test
    public void failureAfterAnAnswerIsLoggedAtOnce() {
        failureLog.logFailure("watch", "silent");
        failureLog.logRecovery(4);
        failureLog.logFailure("watch", "silent");

        assertEquals("INFO " + SILENT, lines.get(2));
    }
}
