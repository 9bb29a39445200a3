package fawnlb.stream;

import fawnlb.decision.EndpointId;
import java.util.Map;

/**
 * The streams of one backend, for the admin page.
 *
 * @param backend the endpoint's id in the endpoint list
 * @param openStreams attempts that have not ended, or whose client has yet to read the rest
 * @param streamsByState the number of those in each state, without states of which there are none
 * @param endsByLabel the number of attempts that have ended, by the label of their end
 * @param allowedGapNanos the silence between two events after which a stream is ended
 * @param bufferedBytes the bytes that are buffered for the streams' clients
 */
public record StreamStatistics(
        EndpointId backend,
        int openStreams,
        Map<StreamState, Integer> streamsByState,
        Map<String, Long> endsByLabel,
        long allowedGapNanos,
        long bufferedBytes) {}
