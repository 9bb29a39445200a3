package fawnlb.stream;

import java.util.Map;

/**
 * One backend's streams, for people.
 *
 * @param openStreams attempts that are out, or whose client has yet to take the rest
 * @param streamsByState of those, how many are in each state that is not empty
 * @param endsByLabel how many have ended, by name
 * @param allowedGapNanos nanoseconds of silence after which a stream of it is given up
 * @param bufferedBytes bytes held for its streams' clients
 */
public record StreamStatistics(
        long backend,
        int openStreams,
        Map<StreamState, Integer> streamsByState,
        Map<String, Long> endsByLabel,
        long allowedGapNanos,
        long bufferedBytes) {}
