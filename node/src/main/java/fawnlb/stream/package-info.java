/**
 * Decides when the stream of an attempt's response ends: after which silence of the backend, after which time without
 * progress of its events, after which time in which a slow client reads nothing, and which stream is evicted when too
 * many bytes are buffered.
 *
 * <p>{@link fawnlb.stream.StreamRegistry} opens a {@link fawnlb.stream.ResponseStream} for each attempt. The exchange
 * of {@code fawnlb.backend} that carries the attempt out reports to it what the backend sends and the client reads, and
 * wakes it when it asks for that; the stream answers through its owner. {@link fawnlb.stream.StreamStateMachine} has
 * the states and transitions. How long a silence may be, {@code SilenceDetector} derives from the usual latencies in
 * {@code LatencyBaseline}; which bytes are progress, {@code ProgressDetector} decides. {@link fawnlb.stream.AttemptEnd}
 * names how an attempt has ended, for all other packages.
 *
 * <p>There is no I/O and no clock: times are arguments, in nanoseconds. A registry and its streams belong to one event
 * loop thread.
 */
package fawnlb.stream;
