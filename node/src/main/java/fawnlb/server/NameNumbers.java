package fawnlb.server;

import fawnlb.decision.Endpoint;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.metrics.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.logging.Logger;

/**
 * Gives the names in one field of the endpoint list their numbers: those of the settings, and numbers above these for
 * names that the settings don't have. Two names never share a number, so that endpoints which discovery tells apart are
 * not taken for members of one group. A name keeps its number for as long as the process runs.
 */
@EventLoopOnly
final class NameNumbers {
    /** Bounds what a list with ever new names can make the process remember. */
    static final int MAX_OTHER_NAMES = 100;

    private static final Logger LOG = Logger.getLogger(NameNumbers.class.getName());

    private final String field;
    private final ToIntFunction<String> settingsIndex;
    private final int settingsCount;
    /** The names that have the numbers of the settings: several may match one name there. */
    private final Map<Integer, String> namesOfSettings = new HashMap<>();

    private final Map<String, Integer> otherNumbers = new HashMap<>();

    /**
     * Creates the numbers of one field.
     *
     * @param field the field's name in the endpoint list
     * @param settingsIndex finds the number of a name that the settings have, and is negative for others
     * @param settingsCount how many names the settings have
     */
    NameNumbers(String field, ToIntFunction<String> settingsIndex, int settingsCount) {
        this.field = field;
        this.settingsIndex = settingsIndex;
        this.settingsCount = settingsCount;
    }

    /**
     * Returns the number of a name. It is {@link Endpoint#UNKNOWN} for an empty name where the settings have names, and
     * for names beyond {@link #MAX_OTHER_NAMES}. Of names that match the same name of the settings, the first one that
     * is listed has its number.
     */
    int numberOf(String name) {
        int index = settingsIndex.applyAsInt(name);
        if (index >= 0 && name.equals(namesOfSettings.computeIfAbsent(index, key -> name))) {
            return index;
        }
        if (name.isEmpty() && settingsCount > 0) {
            return Endpoint.UNKNOWN;
        }
        Integer known = otherNumbers.get(name);
        return known != null ? known : addOther(name);
    }

    private int addOther(String name) {
        if (otherNumbers.size() == MAX_OTHER_NAMES) {
            return Endpoint.UNKNOWN;
        }
        // Without names in the settings, number 0 is that of the instance's own zone, which is not known then.
        int number = Math.max(1, settingsCount) + otherNumbers.size();
        otherNumbers.put(name, number);
        if (settingsCount > 0) {
            LOG.warning(LogLine.event("listed name is not in the settings")
                    .with("field", field)
                    .with("name", name)
                    .toString());
        }
        return number;
    }
}
