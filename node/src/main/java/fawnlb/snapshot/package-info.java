/**
 * Keeps the endpoint list on disk, so that an instance can start while discovery is away.
 *
 * <p>{@link fawnlb.snapshot.SnapshotRecorder} collects what to write: it is an endpoint filter that changes nothing,
 * and it receives each list. {@code SnapshotWriter} decides when a snapshot is written.
 * {@link fawnlb.snapshot.SnapshotStore} has two generations of a file, and {@link fawnlb.snapshot.SnapshotCodec} its
 * bytes.
 *
 * <p>Recorder and writer run on the I/O thread. The disk is read and written on another thread, but for the reading at
 * the start.
 */
package fawnlb.snapshot;
