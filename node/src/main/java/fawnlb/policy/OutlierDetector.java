package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;

/**
 * Ejects endpoints that fail, since quick errors would empty their count of requests in flight and draw ever more keys.
 *
 * <p>An endpoint that fails to connect, or that fails twice in a row otherwise, is ejected for a second, doubled with
 * each further failure up to sixteen. Its first response ends that. An endpoint whose stream stalls is ejected at once,
 * until one of its responses completes.
 *
 * <p>Where a whole zone is unreachable, each endpoint of it would have to fail to connect once, at every instance. When
 * {@link #ZONE_OUTAGE_FAILURES} of them have and none has answered since, all are ejected but for one try a second; a
 * response ends that.
 */
final class OutlierDetector {
    /** Fewer may fail by themselves; measured on the first site. */
    static final int ZONE_OUTAGE_FAILURES = 3;

    private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
    /** The ejection doubles this often at most, to sixteen seconds. */
    private static final int MAX_DOUBLINGS = 4;

    private static final long ZONE_EJECTION_NANOS = 1_000_000_000L;
    /** A stall counts as two failures, so that the endpoint is ejected at once. */
    private static final int FAILURES_PER_STALL = 2;

    private int failingZone = Endpoint.UNKNOWN;
    private int zoneFailures;
    private long zoneEjectedUntil;

    /** Forgets the failures of an endpoint that has restarted, but for its stalls. */
    void onRestart(EndpointState endpoint) {
        endpoint.consecutiveFailures = 0;
        endpoint.ejectedUntil = 0;
    }

    /** Notes that an endpoint has begun a response. */
    void onResponseStarted(EndpointState endpoint) {
        forgive(endpoint);
    }

    /** Notes how an attempt ended, and whether its response had begun. */
    void onAttemptEnded(EndpointState endpoint, AttemptOutcome outcome, boolean responseStarted, long now) {
        switch (outcome) {
            case SERVED -> {
                endpoint.stallFailures = 0;
                forgive(endpoint);
            }
            case ERROR, RESET -> recordFailure(endpoint, now);
            case CONNECT_FAILED -> recordFailedConnect(endpoint, now);
            case STALLED -> {
                if (responseStarted) {
                    endpoint.stallFailures += FAILURES_PER_STALL;
                    recordFailure(endpoint, now);
                }
            }
            default -> {
                // The others say nothing of the endpoint's health: it was busy, or the attempt was given up.
            }
        }
    }

    private void forgive(EndpointState endpoint) {
        zoneFailures = endpoint.zone == failingZone ? 0 : zoneFailures;
        endpoint.consecutiveFailures = endpoint.stallFailures;
        endpoint.ejectedUntil = endpoint.stallFailures > 0 ? endpoint.ejectedUntil : 0;
    }

    private void recordFailure(EndpointState endpoint, long now) {
        countFailure(endpoint);
        if (endpoint.consecutiveFailures > 1) {
            eject(endpoint, now);
        }
    }

    private void recordFailedConnect(EndpointState endpoint, long now) {
        countFailure(endpoint);
        if (endpoint.consecutiveFailures == 1 || zoneFailures >= ZONE_OUTAGE_FAILURES) {
            zoneFailures = endpoint.zone == failingZone ? zoneFailures + 1 : 1;
            failingZone = endpoint.zone;
            zoneEjectedUntil = now + ZONE_EJECTION_NANOS;
        }
        eject(endpoint, now);
    }

    private static void countFailure(EndpointState endpoint) {
        endpoint.consecutiveFailures = Math.max(endpoint.consecutiveFailures + 1, endpoint.stallFailures);
    }

    private static void eject(EndpointState endpoint, long now) {
        int doublings = Math.min(endpoint.consecutiveFailures - 1, MAX_DOUBLINGS);
        endpoint.ejectedUntil = now + (BASE_EJECTION_NANOS << doublings);
    }

    /** Whether an endpoint is ejected, by itself or with its zone; {@code zoneCount}: zones with a ready endpoint. */
    boolean isEjected(EndpointState endpoint, int zoneCount, long now) {
        return endpoint.ejectedUntil > now || isZoneEjected(endpoint, zoneCount, now);
    }

    private boolean isZoneEjected(EndpointState endpoint, int zoneCount, long now) {
        return zoneCount > 1
                && zoneFailures >= ZONE_OUTAGE_FAILURES
                && endpoint.zone == failingZone
                && failingZone != Endpoint.UNKNOWN
                && now < zoneEjectedUntil;
    }
}
