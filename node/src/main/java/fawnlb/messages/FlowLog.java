package fawnlb.messages;

import fawnlb.backend.Parcel;
import fawnlb.stream.Ending;
import fawnlb.syslog.SyslogRecord;
import fawnlb.syslog.SyslogSender;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Writes one record for each flow, if there is a collector to write to. */
public final class FlowLog {
    /** 32473 is the enterprise number that RFC 5612 sets aside for examples; a site puts its own here. */
    private static final String ELEMENT = "flow@32473";

    private static final int NOTICE = 5;
    private static final int INFORMATIONAL = 6;

    private final SyslogRecord format;
    private final SyslogSender sender;

    /** Sender: null if there is no collector. */
    public FlowLog(SyslogRecord format, SyslogSender sender) {
        this.format = format;
        this.sender = sender;
    }

    void write(FlowRecord flow, String end, int status, Ending cause, Parcel.Tally tally, long now) {
        if (sender == null) {
            return;
        }
        Map<String, String> data = new LinkedHashMap<>();
        data.put("id", flow.id());
        data.put("team", flow.team());
        data.put("class", flow.requestClass());
        data.put("model", flow.model());
        data.put("client", flow.dialect().name().toLowerCase(Locale.ROOT));
        if (tally != null && tally.spoken() != null) {
            data.put("target", tally.spoken().name().toLowerCase(Locale.ROOT));
            data.put("skipped", Integer.toString(tally.skipped()));
            data.put("tokens", Long.toString(tally.tokens()));
        }
        data.put("end", end);
        if (cause != null) {
            data.put("cause", cause.word());
        }
        data.put("status", Integer.toString(status));
        data.put("ms", Long.toString((now - flow.takenAt()) / 1_000_000));
        data.put("dropped", Long.toString(sender.dropped()));
        sender.send(format.format(
                end.equals("served") ? INFORMATIONAL : NOTICE, Instant.now(), "FLOW", ELEMENT, data, "flow " + end));
    }
}
