package fawnlb.platform;

import fawnlb.client.Keys;
import fawnlb.decision.Balancer.Settings;
import fawnlb.flow.Ask;
import java.util.Map;
import java.util.function.Function;

/** Reads the headers of the platform's requests. */
final class AskReader {
    private final Settings settings;

    AskReader(Settings settings) {
        this.settings = settings;
    }

    /** The ask; the message of the exception tells the client what is wrong. */
    Ask read(Function<String, String> header, Ask.Parcel parcel) {
        int type = settings.names().classes().indexOf(word(header.apply("X-Class")));
        if (type < 0) {
            throw new IllegalArgumentException("X-Class names no class of this deployment");
        }
        String wait = header.apply("X-Deadline-Ms");
        long patience =
                wait == null ? settings.classes().get(type).deadline() : 1_000_000 * whole("X-Deadline-Ms", wait);
        Map<String, String> extras = Extras.parse(header.apply("X-Extras"));
        return new Ask(
                type,
                settings.names().tenants().indexOf(word(header.apply("X-Tenant"))),
                Keys.of(header.apply("X-Key")),
                Keys.of(extras.get("prefix")),
                patience,
                length(extras, "prompt_len"),
                length(extras, "prefix_len"),
                length(extras, "max_out"),
                header.apply("X-Retry") != null,
                parcel);
    }

    /** A name in the settings has no spaces or commas. */
    private static String word(String text) {
        return text == null ? "" : text.trim().replaceAll("[ ,]", "_");
    }

    private static long whole(String name, String text) {
        try {
            long value = Long.parseLong(text.trim());
            if (value >= 0 && value <= 86_400_000) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, like one out of range.
        }
        throw new IllegalArgumentException(name + " is not a whole number of milliseconds up to a day");
    }

    private static double length(Map<String, String> extras, String name) {
        String text = extras.get(name);
        return text == null ? 0 : whole(name, text);
    }
}
