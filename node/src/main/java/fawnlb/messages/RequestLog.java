package fawnlb.messages;

import fawnlb.backend.OutboundRequest;
import fawnlb.stream.AttemptEnd;
import fawnlb.syslog.SyslogFormatter;
import fawnlb.syslog.SyslogSender;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Writes one record for each flow, if there is a collector to write to. */
public final class RequestLog {
    /** 32473 is the enterprise number that RFC 5612 sets aside for examples; a site puts its own here. */
    private static final String STRUCTURED_DATA_ID = "flow@32473";

    private static final int SEVERITY_NOTICE = 5;
    private static final int SEVERITY_INFORMATIONAL = 6;

    private final SyslogFormatter formatter;
    private final SyslogSender sender;

    /** Sender: null if there is no collector. */
    public RequestLog(SyslogFormatter formatter, SyslogSender sender) {
        this.formatter = formatter;
        this.sender = sender;
    }

    void write(
            RequestRecord request,
            String end,
            int status,
            AttemptEnd cause,
            OutboundRequest.ResponseSummary responseSummary,
            long nowNanos) {
        if (sender == null) {
            return;
        }
        Map<String, String> data = new LinkedHashMap<>();
        data.put("id", request.id());
        data.put("team", request.team());
        data.put("class", request.requestClass());
        data.put("model", request.model());
        data.put("client", request.dialect().name().toLowerCase(Locale.ROOT));
        if (responseSummary != null && responseSummary.backendDialect() != null) {
            data.put("target", responseSummary.backendDialect().name().toLowerCase(Locale.ROOT));
            data.put("skipped", Integer.toString(responseSummary.skippedEvents()));
            data.put("tokens", Long.toString(responseSummary.tokens()));
        }
        data.put("end", end);
        if (cause != null) {
            data.put("cause", cause.label());
        }
        data.put("status", Integer.toString(status));
        data.put("ms", Long.toString((nowNanos - request.receivedAtNanos()) / 1_000_000));
        data.put("dropped", Long.toString(sender.droppedRecords()));
        sender.send(formatter.format(
                end.equals("served") ? SEVERITY_INFORMATIONAL : SEVERITY_NOTICE,
                Instant.now(),
                "FLOW",
                STRUCTURED_DATA_ID,
                data,
                "flow " + end));
    }
}
