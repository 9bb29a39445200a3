package fawnlb.messages;

import fawnlb.syslog.Severity;
import fawnlb.syslog.StructuredData;
import fawnlb.syslog.SyslogFormatter;
import fawnlb.syslog.SyslogSender;
import fawnlb.translation.Dialect;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sends one syslog record for each request, if there is a collector. Collectors match on its message id and field
 * names.
 */
public final class RequestLog {
    /** 32473 is the enterprise number that RFC 5612 reserves for examples; a site uses its own. */
    private static final String STRUCTURED_DATA_ID = "flow@32473";

    private static final String MESSAGE_ID = "FLOW";

    private final SyslogFormatter formatter;
    private final SyslogSender sender;

    /** Creates a log that writes to a collector. */
    public RequestLog(SyslogFormatter formatter, SyslogSender sender) {
        this.formatter = formatter;
        this.sender = sender;
    }

    /** Returns a log that writes nothing, for a process without a collector. */
    public static RequestLog disabled() {
        return new RequestLog(null, null);
    }

    void write(RequestRecord request, RequestEnd end, long nowNanos) {
        if (sender == null) {
            return;
        }
        StructuredData data = new StructuredData(STRUCTURED_DATA_ID, parameters(request, end, nowNanos));
        Severity severity = end.isServed() ? Severity.INFORMATIONAL : Severity.NOTICE;
        sender.send(formatter.format(severity, Instant.now(), MESSAGE_ID, data, "flow " + end.outcome()));
    }

    private Map<String, String> parameters(RequestRecord request, RequestEnd end, long nowNanos) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedAtNanos());
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put("id", request.id());
        parameters.put("team", request.team());
        parameters.put("class", request.requestClass());
        parameters.put("model", request.model());
        parameters.put("client", word(request.dialect()));
        if (end.response() != null && end.response().backendDialect() != null) {
            parameters.put("target", word(end.response().backendDialect()));
            parameters.put("skipped", Integer.toString(end.response().skippedEvents()));
            parameters.put("tokens", Long.toString(end.response().tokens()));
        }
        parameters.put("end", end.outcome());
        if (end.cause() != null) {
            parameters.put("cause", end.cause().label());
        }
        parameters.put("status", Integer.toString(end.status()));
        parameters.put("ms", Long.toString(elapsedMillis));
        parameters.put("dropped", Long.toString(sender.droppedRecords()));
        return parameters;
    }

    private static String word(Dialect dialect) {
        return dialect.name().toLowerCase(Locale.ROOT);
    }
}
