package fawnlb.policy;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.membership.SubscriptionSchedule;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Keeps a watch on service discovery open where the host's endpoints have to be asked for. The timer that was set last
 * counts: if all did, each call that fails would leave two behind.
 */
final class DiscoveryWatch {
    private final boolean isNeeded;
    private final long timerTolerance;
    private final SubscriptionSchedule schedule;

    /** Creates one that has not heard of discovery; {@code random} draws from 0 (inclusive) to 1 (exclusive). */
    DiscoveryWatch(LoadBalancerSettings settings, DoubleSupplier random) {
        this.isNeeded = settings.discoveryMode() == DiscoveryMode.WATCHED;
        this.timerTolerance = settings.tickNanos();
        this.schedule = new SubscriptionSchedule(
                settings.instances(), settings.endpointLifecycle().pollDeadlineNanos(), random);
    }

    /** Notes an update or a failed call; the time for which a timer is to be set, if any. */
    OptionalLong onUpdate(EndpointUpdateKind kind, long now) {
        boolean tellsOfDiscovery = kind != EndpointUpdateKind.FILTERED;
        return isNeeded && tellsOfDiscovery ? schedule.onDiscoveryUpdate(now, kind) : OptionalLong.empty();
    }

    /** Whether the watch is to be opened now that a timer has fired. */
    boolean isDue(long now) {
        return schedule.isCallDue(now, timerTolerance);
    }

    /** Notes that the watch is being opened; the time for which a timer is to be set. */
    long onOpening(long now) {
        return schedule.onCallStarted(now);
    }
}
