package fawnlb.restore;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * How far an endpoint that was restored from a snapshot is trusted. An endpoint that discovery names, or leaves out of
 * a whole list, has no such state any more.
 *
 * <pre>
 *   RESTORED --admitted--> HALF_OPEN --enough responses, and warm--> HEALTHY
 *      |                    |     ^                                     |
 *      | attempt failed     |     | ejection over, or a response        | connect failed
 *      |                    v     |                                     |
 *      +-----------------> EJECTED <------------------------------------+
 * </pre>
 */
public enum RestoredEndpointState {
    /** Known from the snapshot alone; no request is sent to it. */
    RESTORED,
    /** On trial: a few requests of this instance may wait there for their first token. */
    HALF_OPEN,
    /** Has responded often enough, and for long enough to be warm; it is not limited. */
    HEALTHY,
    /** Has failed; no request is sent to it before its ejection ends. */
    EJECTED;

    private static final Map<RestoredEndpointState, Set<RestoredEndpointState>> NEXT_STATES = new EnumMap<>(Map.of(
            RESTORED, EnumSet.of(HALF_OPEN, EJECTED),
            HALF_OPEN, EnumSet.of(HEALTHY, EJECTED),
            HEALTHY, EnumSet.of(EJECTED),
            EJECTED, EnumSet.of(HALF_OPEN)));

    /** Whether an endpoint in this state may go over to the other one. */
    boolean canBecome(RestoredEndpointState next) {
        return NEXT_STATES.get(this).contains(next);
    }
}
