package fawnlb.lab.testbed;

import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Changes of the emulated fleet and their times, in seconds from the start of the schedule. */
public final class FleetSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<ScheduledChange> changes = new ArrayList<>();

    private record ScheduledChange(double atSeconds, String description, IoTask change) {
        void apply() {
            try {
                change.run();
            } catch (IOException e) {
                throw new UncheckedIOException("at " + atSeconds + " s: " + description, e);
            }
        }
    }

    /** Adds a change; the description stands in the error if it fails. */
    public FleetSchedule at(double seconds, String description, IoTask change) {
        changes.add(new ScheduledChange(seconds, description, change));
        return this;
    }

    /**
     * Starts the schedule. To be called on the thread of these timers; changes that are due at the start are done when
     * the method returns.
     */
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
