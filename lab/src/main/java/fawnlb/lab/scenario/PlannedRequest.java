package fawnlb.lab.scenario;

import fawnlb.lab.net.Fault;
import java.util.concurrent.atomic.AtomicInteger;

/** A request of {@link StreamFaults} and the fault that backends inject into its responses. */
final class PlannedRequest {
    /** Into which attempts of the request the fault is injected. */
    enum Repetition {
        FIRST_ATTEMPT("once"),
        EVERY_ATTEMPT("always");

        private final String title;

        Repetition(String title) {
            this.title = title;
        }

        String title() {
            return title;
        }
    }

    private final ResponseForm form;
    private final Fault fault;
    private final Repetition repetition;
    private final AtomicInteger attempts = new AtomicInteger();
    private int repeats;

    private PlannedRequest(ResponseForm form, Fault fault, Repetition repetition) {
        this.form = form;
        this.fault = fault;
        this.repetition = repetition;
    }

    /** Returns a request without a fault. */
    static PlannedRequest clean(ResponseForm form) {
        return new PlannedRequest(form, null, Repetition.FIRST_ATTEMPT);
    }

    static PlannedRequest faulty(ResponseForm form, Fault fault, Repetition repetition) {
        return new PlannedRequest(form, fault, repetition);
    }

    ResponseForm form() {
        return form;
    }

    boolean isClean() {
        return fault == null;
    }

    /** Returns the fault, or null for a clean request. */
    Fault fault() {
        return fault;
    }

    Repetition repetition() {
        return repetition;
    }

    /** Counts an attempt that a backend has accepted and returns its fault, or null. Called by backends' threads. */
    Fault nextAttemptFault() {
        boolean first = attempts.getAndIncrement() == 0;
        return first || repetition == Repetition.EVERY_ATTEMPT ? fault : null;
    }

    /** Returns whether a backend has accepted the request at all. */
    boolean wasAttempted() {
        return attempts.get() > 0;
    }

    /** Counts a repetition of the whole request and returns how many there have been before. */
    int countRepeat() {
        return repeats++;
    }
}
