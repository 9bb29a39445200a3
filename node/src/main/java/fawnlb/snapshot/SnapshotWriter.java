package fawnlb.snapshot;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.io.IOException;
import java.util.function.LongFunction;
import java.util.logging.Logger;

/**
 * Writes snapshots to disk at a bounded rate. The disk's work is done on another thread, and one snapshot is written at
 * a time, so a slow disk delays nothing but the next snapshot. A write that has failed is tried again after the refresh
 * interval.
 *
 * <p>It belongs to the thread of its mailbox.
 */
final class SnapshotWriter {
    private static final Logger LOG = Logger.getLogger(SnapshotWriter.class.getName());
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final Mailbox mailbox;
    private final Mailbox diskMailbox;
    private final Timers timers;
    private final SnapshotStore store;
    private final WriteIntervals intervals;
    private final LongFunction<Snapshot> source;
    private boolean writeInProgress;
    private boolean lastWriteFailed;
    private long requestedWriteAt = NEVER;
    private long lastWriteAt;
    private Timers.Timer writeTimer;

    /**
     * Creates a writer that has nothing to write.
     *
     * @param diskMailbox runs the writes, on a thread that may block
     * @param source makes the snapshot of a time in milliseconds since the epoch; null if there is nothing to write
     */
    SnapshotWriter(
            Mailbox mailbox,
            Mailbox diskMailbox,
            Timers timers,
            SnapshotStore store,
            WriteIntervals intervals,
            LongFunction<Snapshot> source) {
        this.mailbox = mailbox;
        this.diskMailbox = diskMailbox;
        this.timers = timers;
        this.store = store;
        this.intervals = intervals;
        this.source = source;
        this.lastWriteAt = timers.now() - intervals.refreshIntervalNanos();
    }

    /** Has a snapshot written at this time, or as soon after it as the minimum interval allows. */
    void requestWrite(long requestedAt) {
        if (requestedAt >= requestedWriteAt) {
            return;
        }
        requestedWriteAt = requestedAt;
        if (writeTimer != null) {
            writeTimer.cancel();
        }
        long writeAt = Math.max(requestedAt, lastWriteAt + intervals.minIntervalNanos());
        writeTimer = timers.schedule(writeAt - timers.now(), () -> mailbox.tellAlways(this::startWrite));
    }

    private void startWrite() {
        long now = timers.now();
        Snapshot snapshot = writeInProgress ? null : source.apply(now / NANOS_PER_MILLISECOND);
        if (snapshot == null) {
            return;
        }
        writeInProgress = true;
        requestedWriteAt = NEVER;
        lastWriteAt = now;
        diskMailbox.tellOrFail(
                () -> write(snapshot),
                () -> mailbox.tellAlways(() -> onWriteFinished("the disk's thread could not take it")));
    }

    /**
     * Runs on the disk's thread. A store may throw unchecked exceptions for a directory that can't be used any more.
     */
    private void write(Snapshot snapshot) {
        String failure = null;
        try {
            store.write(snapshot);
        } catch (IOException | RuntimeException e) {
            failure = e.toString();
        }
        String reportedFailure = failure;
        mailbox.tellAlways(() -> onWriteFinished(reportedFailure));
    }

    /** @param failure why nothing was written; null if the snapshot is on disk */
    private void onWriteFinished(String failure) {
        writeInProgress = false;
        if (failure != null && !lastWriteFailed) {
            LOG.warning(LogLine.event("snapshot not written")
                    .with("retry_s", intervals.refreshIntervalNanos() / NANOS_PER_SECOND)
                    .reason(failure)
                    .toString());
        } else if (failure == null && lastWriteFailed) {
            LOG.info(LogLine.event("snapshot written again").toString());
        }
        lastWriteFailed = failure != null;
        long nextWriteAt = lastWriteFailed ? timers.now() + intervals.refreshIntervalNanos() : requestedWriteAt;
        requestedWriteAt = NEVER;
        if (nextWriteAt != NEVER) {
            requestWrite(nextWriteAt);
        }
    }
}
