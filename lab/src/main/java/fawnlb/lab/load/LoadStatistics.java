package fawnlb.lab.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/**
 * What became of the turns of a {@link LoadGenerator}. Updated on the generator's I/O thread; read on it, or on any
 * thread once all turns have ended. {@link #openTurns} may be read on any thread at any time.
 */
public final class LoadStatistics {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    /** Longer times are counted as this one. */
    private static final long MAX_RECORDED_MICROS = 59_999_999;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<Map<TurnOutcome, Integer>> outcomesBySecond = new ArrayList<>();
    private final Histogram firstEventMicros = newHistogram();
    private final Histogram eventGapMicros = newHistogram();
    private final AtomicInteger openTurns = new AtomicInteger();
    private long firstEventNanos = -1;
    private int attemptCount;

    /** Creates statistics with one row a second, and a last row for turns that begin later. */
    LoadStatistics(int seconds) {
        for (int second = 0; second <= seconds; second++) {
            outcomesBySecond.add(new EnumMap<>(TurnOutcome.class));
        }
    }

    private static Histogram newHistogram() {
        return new Histogram(MAX_RECORDED_MICROS + 1, SIGNIFICANT_DIGITS);
    }

    void onTurnStarted() {
        openTurns.incrementAndGet();
    }

    void onAttemptStarted() {
        attemptCount++;
    }

    /** A turn that began {@code startNanos} after the start of the run has ended. */
    void onTurnEnded(long startNanos, TurnOutcome outcome) {
        openTurns.decrementAndGet();
        int second = (int) Math.min(outcomesBySecond.size() - 1, startNanos / NANOS_PER_SECOND);
        outcomesBySecond.get(second).merge(outcome, 1, Integer::sum);
    }

    /** The first event of a turn has come: its time from the start of the run and from the turn's first attempt. */
    void onFirstEvent(long sinceRunStartNanos, long sinceTurnStartNanos) {
        if (firstEventNanos < 0) {
            firstEventNanos = sinceRunStartNanos;
        }
        firstEventMicros.recordValue(toRecordedMicros(sinceTurnStartNanos));
    }

    void onEventGap(long nanos) {
        eventGapMicros.recordValue(toRecordedMicros(nanos));
    }

    private static long toRecordedMicros(long nanos) {
        return Math.min(MAX_RECORDED_MICROS, nanos / NANOS_PER_MICRO);
    }

    /** Returns the number of turns that have begun and not ended. */
    public int openTurns() {
        return openTurns.get();
    }

    /** Returns the number of requests that clients have begun, repeated ones included. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Returns the time from the start of the run to the first event that any client received, -1 if none did. */
    public long firstEventNanos() {
        return firstEventNanos;
    }

    /** Returns the times in microseconds from a turn's first attempt to its first event. */
    public Histogram firstEventMicros() {
        return firstEventMicros;
    }

    /** Returns the times in microseconds between two parts of one answer. */
    public Histogram eventGapMicros() {
        return eventGapMicros;
    }

    /** Returns how many turns ended with this outcome. */
    public int total(TurnOutcome outcome) {
        return outcomeTotals().get(outcome);
    }

    /** Returns how many turns have ended. */
    public int totalTurns() {
        return outcomeTotals().values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of turns by outcome; each outcome is present. */
    public Map<TurnOutcome, Integer> outcomeTotals() {
        return sum(outcomesBySecond);
    }

    private static Map<TurnOutcome, Integer> sum(List<Map<TurnOutcome, Integer>> rows) {
        Map<TurnOutcome, Integer> totals = new EnumMap<>(TurnOutcome.class);
        for (TurnOutcome outcome : TurnOutcome.values()) {
            totals.put(
                    outcome,
                    rows.stream().mapToInt(row -> row.getOrDefault(outcome, 0)).sum());
        }
        return totals;
    }

    /** Returns the part of the turns begun in these seconds that was served in time; 0 if none began. */
    public double servedShare(int fromSecond, int toSecond) {
        Map<TurnOutcome, Integer> totals = sum(outcomesBySecond.subList(fromSecond, toSecond));
        int turns = totals.values().stream().mapToInt(Integer::intValue).sum();
        return turns == 0 ? 0 : totals.get(TurnOutcome.IN_TIME) / (double) turns;
    }

    /** Returns a table of the turns that began in each second and their outcomes. */
    public List<String> formatTable() {
        List<String> lines = new ArrayList<>();
        StringBuilder heading = new StringBuilder(String.format("%6s %6s", "second", "turns"));
        for (TurnOutcome outcome : TurnOutcome.values()) {
            heading.append(String.format(" %9s", outcome.title()));
        }
        lines.add(heading.toString());
        for (int second = 0; second < outcomesBySecond.size() - 1; second++) {
            lines.add(formatRow(second, outcomesBySecond.get(second)));
        }
        return lines;
    }

    private static String formatRow(int second, Map<TurnOutcome, Integer> outcomes) {
        int turns = outcomes.values().stream().mapToInt(Integer::intValue).sum();
        StringBuilder row = new StringBuilder(String.format("%6d %6d", second, turns));
        for (TurnOutcome outcome : TurnOutcome.values()) {
            row.append(String.format(" %9d", outcomes.getOrDefault(outcome, 0)));
        }
        return row.toString();
    }
}
