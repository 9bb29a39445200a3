package fawnlb.lab.scenario;

import fawnlb.lab.engine.CompletedResponse;
import fawnlb.lab.net.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Draws the requests of a {@link FaultRound}: each fault at each offset, in random order, beside clean requests. */
final class FaultPlan {
    private static final int CLEAN_REQUESTS_PER_FAULT = 2;
    private static final int QUICK_SAMPLE_SIZE = 500;
    /** Shorter than the time after which the node gives up a silent stream. */
    private static final long PAUSE_NANOS = 50_000_000;

    private FaultPlan() {}

    /**
     * Returns the requests in the order in which they are to be sent.
     *
     * @param cleanResponses a response without a fault for each form, which determines the offsets
     */
    static List<PlannedRequest> draw(
            Map<ResponseForm, CompletedResponse> cleanResponses, Random random, RunLength length) {
        List<PlannedRequest> faulty = new ArrayList<>();
        for (ResponseForm form : ResponseForm.ALL) {
            addFaults(faulty, form, cleanResponses.get(form).totalBytes(), random);
        }
        Collections.shuffle(faulty, random);
        int count = length.choose(faulty.size(), Math.min(QUICK_SAMPLE_SIZE, faulty.size()));
        List<PlannedRequest> requests = new ArrayList<>();
        for (PlannedRequest request : faulty.subList(0, count)) {
            requests.add(request);
            for (int i = 0; i < CLEAN_REQUESTS_PER_FAULT; i++) {
                requests.add(PlannedRequest.clean(request.form()));
            }
        }
        return requests;
    }

    private static void addFaults(List<PlannedRequest> requests, ResponseForm form, int responseBytes, Random random) {
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (kind.concernsProgress()) {
                // They take seconds each, and the soak has them.
                continue;
            }
            int offsets = kind.isPositional() ? responseBytes : 1;
            for (int offset = 0; offset < offsets; offset++) {
                Fault fault = new Fault(kind, offset, PAUSE_NANOS);
                requests.add(PlannedRequest.faulty(form, fault, drawRepetition(random)));
            }
        }
    }

    private static PlannedRequest.Repetition drawRepetition(Random random) {
        return random.nextBoolean() ? PlannedRequest.Repetition.EVERY_ATTEMPT : PlannedRequest.Repetition.FIRST_ATTEMPT;
    }
}
