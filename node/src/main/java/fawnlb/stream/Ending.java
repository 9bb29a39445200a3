package fawnlb.stream;

import fawnlb.decision.Balancer.Outcome;

/** An end and where it struck: the one name that the log, the syslog record and the client's answer use. */
public record Ending(End end, Place place) {

    /** For ends that don't depend on how far the answer had come. */
    public static Ending of(End end) {
        return new Ending(end, Place.BEFORE_HEAD);
    }

    /** Such as {@code stalled-midway} or {@code reader-left}. */
    public String word() {
        return end.placed() ? end.word() + '-' + place.word() : end.word();
    }

    /** Whether the backend said nothing in time, rather than something wrong. */
    public boolean isLate() {
        return end == End.STALLED || end == End.OUT_OF_TIME;
    }

    public Outcome outcome() {
        return end.outcome();
    }
}
