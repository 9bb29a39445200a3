package fawnlb.policy;

import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Tracks how fast endpoints stream. The length of a response isn't known, so the time of a stream is divided by the
 * tokens that it may have, and compared with the first streams of its request class: a slowdown of 2 means that streams
 * take twice as long as those did.
 *
 * <p>An instance of a large fleet meets one endpoint a few times in ten seconds only. So what it has seen of all
 * endpoints of that kind counts as some streams of the endpoint itself.
 */
final class StreamPaceTracker {
    /** What is known of an endpoint's kind counts as this many streams of its own. */
    static final int KIND_PRIOR_STREAMS = 8;
    /** Streams of one endpoint over which its slowdown is averaged. */
    private static final int ENDPOINT_SAMPLES = 16;
    /** Streams of one kind over which its slowdown is averaged. */
    private static final int KIND_SAMPLES = 64;
    /** The first streams of a request class, which its later ones are compared with. */
    private static final int BASELINE_SAMPLES = 64;
    /** One stream counts as this slowdown at most. */
    private static final double MAX_SLOWDOWN = 16;
    /** The slowdown of the fastest kind if no kind is known: keeps every key where it is. */
    private static final double UNKNOWN_SLOWDOWN = 1e15;

    /** How fast endpoints of one kind stream, and in how many streams that was seen. */
    static final class KindPace {
        private double slowdown;
        private double streams;
    }

    private final EndpointTable endpoints;
    private final ToDoubleFunction<EndpointState> slowdownFigure = this::slowdownOf;
    private final double[] baselineNanosPerToken;
    private final int[] streamsOfClass;
    private final Map<Integer, KindPace> kinds = new HashMap<>();
    private final Set<KindPace> readyKinds = new LinkedHashSet<>();
    private double bestMedian = 1;

    StreamPaceTracker(EndpointTable endpoints, int requestClasses) {
        this.endpoints = endpoints;
        this.baselineNanosPerToken = new double[requestClasses];
        this.streamsOfClass = new int[requestClasses];
    }

    /** Notes the kind of a listed endpoint. */
    void onListed(EndpointState endpoint, int kind) {
        endpoint.kindPace = kinds.computeIfAbsent(kind, unseen -> new KindPace());
    }

    /** Takes over which endpoints are ready now. */
    void onReadyChanged(List<EndpointState> ready) {
        readyKinds.clear();
        ready.forEach(endpoint -> readyKinds.add(endpoint.kindPace));
    }

    /** Records a completed stream of a request, without its first token. */
    void record(EndpointState endpoint, ActiveRequest request, double streamNanos) {
        RequestArrived arrival = request.arrival;
        int classIndex = arrival.classIndex();
        if (classIndex < 0 || classIndex >= baselineNanosPerToken.length) {
            return;
        }
        double negligible = LatencyTracker.NEGLIGIBLE_OBJECTIVE_FRACTION * request.firstTokenObjectiveNanos;
        double nanosPerToken = Math.max(negligible, streamNanos) / request.maxStreamTokens;
        int seen = ++streamsOfClass[classIndex];
        if (seen <= BASELINE_SAMPLES) {
            baselineNanosPerToken[classIndex] += (nanosPerToken - baselineNanosPerToken[classIndex]) / seen;
        }
        record(endpoint, Math.min(MAX_SLOWDOWN, nanosPerToken / baselineNanosPerToken[classIndex]));
        if (seen > 2 * BASELINE_SAMPLES) {
            bestMedian = Math.min(bestMedian, median());
        }
    }

    private static void record(EndpointState endpoint, double slowdown) {
        endpoint.streamSamples++;
        endpoint.streamSlowdown +=
                (slowdown - endpoint.streamSlowdown) / Math.min(endpoint.streamSamples, ENDPOINT_SAMPLES);
        KindPace kind = endpoint.kindPace;
        kind.streams++;
        kind.slowdown += (slowdown - kind.slowdown) / Math.min(kind.streams, KIND_SAMPLES);
    }

    /** The slowdown of one endpoint, with what is known of its kind. */
    double slowdownOf(EndpointState endpoint) {
        KindPace kind = endpoint.kindPace;
        int own = Math.min(endpoint.streamSamples, ENDPOINT_SAMPLES);
        double all = own + KIND_PRIOR_STREAMS;
        return kind.streams == 0
                ? endpoint.streamSlowdown
                : (own * endpoint.streamSlowdown + KIND_PRIOR_STREAMS * kind.slowdown) / all;
    }

    /** The median slowdown of the ready endpoints. */
    double median() {
        return endpoints.readyMedian(slowdownFigure);
    }

    /** The lowest median so far, 1 at most: how fast the fleet streams when it has capacity to spare. */
    double bestMedian() {
        return bestMedian;
    }

    /** The slowdown of the fastest kind of ready endpoints that was seen often enough. */
    double fastestKind() {
        double fastest = UNKNOWN_SLOWDOWN;
        for (KindPace kind : readyKinds) {
            fastest = kind.streams >= KIND_PRIOR_STREAMS ? Math.min(fastest, kind.slowdown) : fastest;
        }
        return fastest;
    }

    /**
     * Whether an endpoint keeps a key, given the slowdown of the fastest kind: a slower one keeps a fraction of its
     * keys, the same ones at every instance. Compared with the median instead, a slower kind that has most of the
     * endpoints would keep all of its keys.
     */
    boolean keepsKey(EndpointState endpoint, long key, double fastestKind) {
        double draw = SplitMix64.toUnitInterval(key ^ SplitMix64.mix(endpoint.id.ringSeed()));
        return draw < fastestKind / slowdownOf(endpoint);
    }
}
