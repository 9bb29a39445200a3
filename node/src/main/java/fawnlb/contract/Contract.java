package fawnlb.contract;

import java.util.List;

/** What a team may ask for. {@code deadlineNanos}: nanoseconds that an answer may take to begin. */
public record Contract(
        String team,
        String key,
        String tenant,
        List<String> classes,
        List<String> models,
        long deadlineNanos,
        Budget budget) {

    /** Why a request is outside the contract, or null if it is inside. */
    public String violation(String requestClass, String model) {
        if (!classes.contains(requestClass)) {
            return "class '" + requestClass + "' is not in this team's contract";
        }
        if (!models.contains(model)) {
            return "model '" + model + "' is not in this team's contract";
        }
        return null;
    }
}
