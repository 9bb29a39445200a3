package fawnlb.flow;

import fawnlb.decision.Balancer.Outcome;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import java.util.List;

/** The backends as the core sees them. */
public interface Backends {
    /** A process may be held up for so long between its look at the clock and the write, in nanoseconds. */
    long MAX_HELD_UP = 150_000_000;

    /**
     * Starts an attempt. The report hears of it once or twice: perhaps its start, and always its end. A backend that
     * drains or has left by the time at which its connection is up is sent nothing.
     *
     * @param until when the node no longer waits for its answer to begin, in nanoseconds on the host's clock
     * @param sendBy the request is not sent at this time or later, in nanoseconds on the host's clock
     * @param again whether another could follow it, so that there is something to gain by not waiting for it to the end
     */
    Attempt attempt(long backend, Ask ask, long until, long sendBy, boolean again, Report report);

    /** Tests a backend. */
    void probe(long backend, ProbeReport report);

    /** One attempt that is out. */
    interface Attempt {
        /** Stops it with this end; without effect once it has ended. */
        void stop(End end);
    }

    /** What becomes of an attempt. */
    interface Report {
        /**
         * Asked when the request is about to be written, which may be long after it was decided on: is it still wanted?
         */
        boolean wanted();

        void started(Source source);

        /** Instead of its start: the backend finds the request itself wrong, as every backend would. */
        void rejected(Source source);

        /**
         * Between its start and its end: its reader has stopped, and until it reads on it is no work for the backend.
         */
        void parked();

        void ended(Ending ending, long kept, List<Double> load);
    }

    /** What a probe finds. */
    interface ProbeReport {
        void probed(Outcome outcome, List<Double> load);
    }
}
