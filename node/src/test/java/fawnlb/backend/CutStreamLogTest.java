package fawnlb.backend;

import static org.junit.Assert.assertEquals;

import fawnlb.CapturedLog;
import fawnlb.eventloop.ManualTimers;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import fawnlb.stream.ResponseProgress;
import java.util.List;
import org.junit.Test;

public class CutStreamLogTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final AttemptEnd END = new AttemptEnd(EndReason.NO_PROGRESS, ResponseProgress.AFTER_FIRST_EVENT);

    @Test
    public void logsOneLineASecondAndCountsTheOthers() {
        ManualTimers timers = new ManualTimers(0);
        CutStreamLog cutStreamLog = new CutStreamLog(timers);
        try (CapturedLog log = new CapturedLog(CutStreamLog.class.getName())) {
            cutStreamLog.record("a", "b:1", END);
            timers.advance(SECOND_NANOS - 1);
            cutStreamLog.record("b", "b:1", END);
            timers.advance(1);
            cutStreamLog.record("c", "b:2", END);

            assertEquals(
                    List.of(
                            "stream cut request_id=a backend=b:1 reason=no-progress-midway suppressed=0",
                            "stream cut request_id=c backend=b:2 reason=no-progress-midway suppressed=1"),
                    log.lines());
        }
    }
}
