package fawnlb.lab.scenario;

import fawnlb.actor.Timers;
import java.util.ArrayList;
import java.util.List;

/** What happens to a fleet and when, in seconds from the start of a run. */
final class Timeline {
    private static final double S = 1e9;

    private final List<Step> steps = new ArrayList<>();

    /** A change of the fleet. */
    @FunctionalInterface
    interface Change {
        void make() throws Exception;
    }

    private record Step(double at, String what, Change change) {
        void make() {
            try {
                change.make();
            } catch (Exception e) {
                throw new IllegalStateException("at " + at + " s: " + what, e);
            }
        }
    }

    Timeline at(double seconds, String what, Change change) {
        steps.add(new Step(seconds, what, change));
        return this;
    }

    /** Plays it on the thread of these timers, which calls this; what is due at the start is done when it returns. */
    void play(Timers timers) {
        for (Step step : steps) {
            if (step.at() <= 0) {
                step.make();
            } else {
                timers.after((long) (step.at() * S), step::make);
            }
        }
    }
}
