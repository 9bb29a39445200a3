package fawnlb.lab.load;

import fawnlb.lab.load.ArrivalPlan.Turn;

/** One turn of a client and its attempts. It retries until an answer begins or no retry is left. */
final class TurnExecution {
    private static final int MAX_RETRIES = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LoadGenerator generator;
    private final Turn turn;
    private final long startedAt;
    private int retries;

    TurnExecution(LoadGenerator generator, Turn turn) {
        this.generator = generator;
        this.turn = turn;
        this.startedAt = generator.now();
        generator.statistics().onTurnStarted();
    }

    Turn turn() {
        return turn;
    }

    /** Returns when the first attempt began. */
    long startedAt() {
        return startedAt;
    }

    /** Returns how long an attempt waits for its first event. */
    long timeoutNanos() {
        return turn.timeoutMillis() * NANOS_PER_MILLI;
    }

    void beginAttempt() {
        generator.statistics().onAttemptStarted();
        new ClientAttempt(generator, this).connect(generator.drawNode());
    }

    void finish(TurnOutcome outcome) {
        generator.statistics().onTurnEnded(startedAt - generator.startedAt(), outcome);
    }

    /** Retries after the client's own delay, or ends with this outcome if no retry is left. */
    void retryOrFinish(TurnOutcome outcome) {
        retryOrFinish(outcome, turn.retryDelayMillis() * NANOS_PER_MILLI);
    }

    /** Retries after this delay, or ends with this outcome if no retry is left. */
    void retryOrFinish(TurnOutcome outcome, long delayNanos) {
        if (retries++ < MAX_RETRIES) {
            generator.schedule(delayNanos, this::beginAttempt);
        } else {
            finish(outcome);
        }
    }
}
