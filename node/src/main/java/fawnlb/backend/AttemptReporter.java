package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.ResponseHead;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import fawnlb.proxy.Backends;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import java.util.logging.Logger;

/** Tells the proxy, the metrics and the log what becomes of one attempt. Belongs to the attempt's exchange. */
@EventLoopOnly
final class AttemptReporter {
    private static final Logger LOG = Logger.getLogger(AttemptReporter.class.getName());

    private final Backend backend;
    private final OutboundRequest request;
    private final Backends.AttemptListener listener;
    private final ResponseTail tail;
    private boolean isResponseReported;

    /** The tail is the one to which the exchange adds what it reads. */
    AttemptReporter(Backend backend, OutboundRequest request, Backends.AttemptListener listener, ResponseTail tail) {
        this.backend = backend;
        this.request = request;
        this.listener = listener;
        this.tail = tail;
    }

    boolean isResponseReported() {
        return isResponseReported;
    }

    /** Reports a response that is relayed; without effect after the first call. */
    void reportResponse(ResponseHead head, ResponseKind kind, ResponseSource source) {
        if (isResponseReported) {
            return;
        }
        isResponseReported = true;
        if (kind == ResponseKind.CLIENT_ERROR) {
            request.responseSummary().setStatus(head.status());
            listener.onClientErrorResponse(source);
        } else {
            listener.onResponseStarted(source);
        }
    }

    /** Records what the body has shown of its usage, before the end is reported. */
    void recordUsage(RelayedBody body) {
        OutboundRequest.ResponseSummary summary = request.responseSummary();
        boolean hasLastEvent = summary.collectsUsage() && (body.hasLastEvent() || tail.hasLastEvent(backend.dialect()));
        summary.recordUsage(backend.dialect(), body.unrecognizedEvents(), body.totalTokens(), hasLastEvent);
    }

    /** Reports the end; the head is null if none was read. */
    void reportEnd(AttemptEnd attemptEnd, ResponseHead head) {
        Metrics.increment(Metric.ATTEMPTS, attemptEnd.label());
        LOG.fine(() -> LogLine.event("attempt ended")
                .requestId(request.requestId())
                .backend(backend.identity().hostAndPort())
                .reason(attemptEnd.label())
                .toString());
        if (isResponseReported && attemptEnd.isFaultOfBackend()) {
            backend.cutStreamLog()
                    .record(request.requestId(), backend.identity().hostAndPort(), attemptEnd);
        }
        listener.onAttemptEnded(
                attemptEnd,
                tail.cachedTokens(),
                LoadReport.parse(loadReport(head), backend.limits().loadReportFields()));
    }

    /** The load report at the end of the body or, without one there, of the head; empty if there is none. */
    private String loadReport(ResponseHead head) {
        if (head == null) {
            return "";
        }
        return tail.loadReport().isEmpty() ? head.header("x-load") : tail.loadReport();
    }
}
