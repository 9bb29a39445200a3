package fawnlb.lab.load;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class LoadStatisticsTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final LoadStatistics statistics = new LoadStatistics(3);

    private void addTurn(double startSeconds, TurnOutcome outcome) {
        statistics.onTurnStarted();
        statistics.onTurnEnded((long) (startSeconds * NANOS_PER_SECOND), outcome);
    }

    @Test
    public void turnsAreCountedByOutcomeAndBySecondOfTheirStart() {
        addTurn(0.5, TurnOutcome.IN_TIME);
        addTurn(1.5, TurnOutcome.IN_TIME);
        addTurn(1.9, TurnOutcome.REJECTED);
        addTurn(100, TurnOutcome.LATE);
        statistics.onTurnStarted();
        assertEquals(1, statistics.openTurns());
        assertEquals(4, statistics.totalTurns());
        assertEquals(2, statistics.total(TurnOutcome.IN_TIME));
        assertEquals(0, statistics.total(TurnOutcome.BROKEN));
        assertEquals(1, statistics.servedShare(0, 1), 0);
        assertEquals(0.5, statistics.servedShare(1, 2), 0);
        assertEquals("a second without turns", 0, statistics.servedShare(2, 3), 0);
    }

    @Test
    public void tableHasARowForEachSecondOfTheRun() {
        addTurn(1.5, TurnOutcome.TIMED_OUT);
        assertEquals(4, statistics.formatTable().size());
        assertEquals(
                "     1      1         0         0         0         0         0         1",
                statistics.formatTable().get(2));
    }

    @Test
    public void firstEventOfTheRunIsRecordedAndLongTimesAreLimited() {
        statistics.onFirstEvent(7 * NANOS_PER_SECOND, 120 * NANOS_PER_SECOND);
        statistics.onFirstEvent(9 * NANOS_PER_SECOND, NANOS_PER_SECOND);
        assertEquals(7 * NANOS_PER_SECOND, statistics.firstEventNanos());
        assertEquals(2, statistics.firstEventMicros().getTotalCount());
        assertEquals(60e6, statistics.firstEventMicros().getMaxValue(), 0.1e6);
    }
}
