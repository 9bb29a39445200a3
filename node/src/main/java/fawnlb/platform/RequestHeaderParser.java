package fawnlb.platform;

import fawnlb.client.AffinityKeys;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.http.InvalidRequestException;
import fawnlb.proxy.IncomingRequest;
import io.undertow.util.StatusCodes;
import java.util.Map;

/** Parses the headers of the platform's requests into the facts that load balancing decisions need. */
final class RequestHeaderParser {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** One day: a larger value is a mistake, and far below an overflow in nanoseconds. */
    private static final long MAX_NUMBER = 86_400_000;

    private final LoadBalancerSettings settings;

    RequestHeaderParser(LoadBalancerSettings settings) {
        this.settings = settings;
    }

    /**
     * Parses the headers of one request.
     *
     * @param payload the request as it will go to a backend
     * @throws InvalidRequestException if a header is invalid; its message tells the client what is wrong
     */
    IncomingRequest parse(HeaderLookup headers, IncomingRequest.RequestPayload payload) throws InvalidRequestException {
        int requestClass = parseRequestClass(headers);
        long clientTimeoutNanos = parseClientTimeoutNanos(headers, requestClass);
        Map<String, String> extras = ExtrasHeader.parse(headers.find(ExtrasHeader.NAME));
        return new IncomingRequest(
                requestClass,
                settings.names().tenantIndex(nameIn(headers, "X-Tenant")),
                AffinityKeys.parse(headers.find("X-Key")),
                AffinityKeys.parse(extras.get("prefix")),
                clientTimeoutNanos,
                parseTokenCount(extras, "prompt_len"),
                parseTokenCount(extras, "prefix_len"),
                parseTokenCount(extras, "max_out"),
                headers.find("X-Retry") != null,
                payload);
    }

    private int parseRequestClass(HeaderLookup headers) throws InvalidRequestException {
        int requestClass = settings.names().classIndex(nameIn(headers, "X-Class"));
        if (requestClass < 0) {
            throw badRequest("X-Class", "X-Class names no class of this deployment");
        }
        return requestClass;
    }

    private long parseClientTimeoutNanos(HeaderLookup headers, int requestClass) throws InvalidRequestException {
        String deadlineMillis = headers.find("X-Deadline-Ms");
        return deadlineMillis == null
                ? settings.requestClasses().get(requestClass).deadlineNanos()
                : NANOS_PER_MILLISECOND * parseNumber("X-Deadline-Ms", deadlineMillis);
    }

    private static String nameIn(HeaderLookup headers, String header) throws InvalidRequestException {
        String text = headers.find(header);
        return text == null ? "" : text.trim();
    }

    private static double parseTokenCount(Map<String, String> extras, String name) throws InvalidRequestException {
        String text = extras.get(name);
        return text == null ? 0 : parseNumber(name, text);
    }

    private static long parseNumber(String name, String text) throws InvalidRequestException {
        try {
            long value = Long.parseLong(text.trim());
            if (value >= 0 && value <= MAX_NUMBER) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with a number out of range.
        }
        throw badRequest(name, name + " is not a whole number of milliseconds up to a day");
    }

    private static InvalidRequestException badRequest(String field, String detail) {
        return new InvalidRequestException(StatusCodes.BAD_REQUEST, field, detail);
    }
}
