package fawnlb.contract;

import java.util.List;
import java.util.Optional;

/**
 * What a team may ask for.
 *
 * @param key the secret that the team's clients send
 * @param tenant the tenant of the settings that the team's requests count for, empty for none
 * @param classes the request classes that the team may use, the first of which is its default
 * @param models the models that the team may use
 * @param deadlineNanos the longest time until a response begins
 */
public record Contract(
        String team,
        String key,
        String tenant,
        List<String> classes,
        List<String> models,
        long deadlineNanos,
        Budget budget) {

    /** Returns why the contract does not allow a request, or nothing if it does. The client reads the text. */
    public Optional<String> violation(String requestClass, String model) {
        if (!classes.contains(requestClass)) {
            return Optional.of("class '" + requestClass + "' is not in this team's contract");
        }
        if (!models.contains(model)) {
            return Optional.of("model '" + model + "' is not in this team's contract");
        }
        return Optional.empty();
    }
}
