package fawnlb.platform;

import fawnlb.client.AffinityKeys;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.proxy.IncomingRequest;
import java.util.Map;
import java.util.function.Function;

/** Reads the headers of the platform's requests. */
final class RequestHeaderParser {
    private final LoadBalancerSettings settings;

    RequestHeaderParser(LoadBalancerSettings settings) {
        this.settings = settings;
    }

    /** The ask; the message of the exception tells the client what is wrong. */
    IncomingRequest parse(Function<String, String> header, IncomingRequest.RequestPayload outboundRequest) {
        int requestClass = settings.names().classes().indexOf(normalizeName(header.apply("X-Class")));
        if (requestClass < 0) {
            throw new IllegalArgumentException("X-Class names no class of this deployment");
        }
        String deadlineMillis = header.apply("X-Deadline-Ms");
        long clientTimeoutNanos = deadlineMillis == null
                ? settings.requestClasses().get(requestClass).deadlineNanos()
                : 1_000_000 * parseMillis("X-Deadline-Ms", deadlineMillis);
        Map<String, String> extras = ExtrasHeader.parse(header.apply("X-Extras"));
        return new IncomingRequest(
                requestClass,
                settings.names().tenants().indexOf(normalizeName(header.apply("X-Tenant"))),
                AffinityKeys.parse(header.apply("X-Key")),
                AffinityKeys.parse(extras.get("prefix")),
                clientTimeoutNanos,
                tokenCount(extras, "prompt_len"),
                tokenCount(extras, "prefix_len"),
                tokenCount(extras, "max_out"),
                header.apply("X-Retry") != null,
                outboundRequest);
    }

    /** A name in the settings has no spaces or commas. */
    private static String normalizeName(String text) {
        return text == null ? "" : text.trim().replaceAll("[ ,]", "_");
    }

    private static long parseMillis(String name, String text) {
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

    private static double tokenCount(Map<String, String> extras, String name) {
        String text = extras.get(name);
        return text == null ? 0 : parseMillis(name, text);
    }
}
