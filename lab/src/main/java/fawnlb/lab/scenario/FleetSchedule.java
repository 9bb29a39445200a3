package fawnlb.lab.scenario;

import fawnlb.eventloop.Timers;
import java.util.ArrayList;
import java.util.List;

/** What happens to a fleet and when, in seconds from the start of a run. */
final class FleetSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<ScheduledChange> changes = new ArrayList<>();

    /** A change of the fleet. */
    @FunctionalInterface
    interface FleetChange {
        void apply() throws Exception;
    }

    private record ScheduledChange(double atSeconds, String description, FleetChange change) {
        void apply() {
            try {
                change.apply();
            } catch (Exception e) {
                throw new IllegalStateException("at " + atSeconds + " s: " + description, e);
            }
        }
    }

    FleetSchedule at(double seconds, String description, FleetChange change) {
        changes.add(new ScheduledChange(seconds, description, change));
        return this;
    }

    /** Plays it on the thread of these timers, which calls this; what is due at the start is done when it returns. */
    void start(Timers timers) {
        for (ScheduledChange scheduled : changes) {
            if (scheduled.atSeconds() <= 0) {
                scheduled.apply();
            } else {
                timers.schedule((long) (scheduled.atSeconds() * NANOS_PER_SECOND), scheduled::apply);
            }
        }
    }
}
