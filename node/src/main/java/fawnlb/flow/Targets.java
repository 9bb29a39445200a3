package fawnlb.flow;

import fawnlb.decision.Balancer.Outcome;
import java.util.List;

/** The targets as the core sees them. */
public interface Targets {
    /** Starts a forward. The report hears of it once or twice: perhaps its start, and always its end. */
    Forward forward(long target, Ask.Parcel parcel, long patience, Report report);

    /** Tests a target. */
    void probe(long target, ProbeReport report);

    /** One forward that is out. */
    interface Forward {
        /** Stops it with this outcome; without effect once it has ended. */
        void stop(Outcome outcome);
    }

    /** What becomes of a forward. */
    interface Report {
        void started(Source source);

        /** Instead of its start: the target finds the request itself wrong, as every target would. */
        void rejected(Source source);

        void ended(Outcome outcome, long kept, List<Double> load);
    }

    /** What a probe finds. */
    interface ProbeReport {
        void probed(Outcome outcome, List<Double> load);
    }
}
