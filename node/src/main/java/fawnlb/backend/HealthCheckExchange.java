package fawnlb.backend;

import fawnlb.http.ResponseHead;
import fawnlb.proxy.Backends;
import fawnlb.stream.EndReason;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A health check: a request for the backend's statistics. Its result is whether the backend answered with 200 within
 * the timeout, and the load report of the header or, without one there, of the body.
 */
final class HealthCheckExchange extends BackendExchange {
    private static final int OK = 200;

    private final Backends.HealthCheckListener listener;
    private List<Double> loadReport = List.of();
    private ResponseHead responseHead;

    /** Starts the timeout; {@link #start} sends the request. */
    HealthCheckExchange(Backend backend, Backends.HealthCheckListener listener) {
        super(backend);
        this.listener = listener;
        backend.timers()
                .schedule(
                        backend.limits().healthCheckTimeoutNanos(),
                        () -> backend.mailbox().tellAlways(() -> abort(EndReason.TIMED_OUT)));
    }

    /** A health check is sent whatever the state of the backend: its result may be what changes that state. */
    @Override
    boolean maySend() {
        return true;
    }

    @Override
    ByteBuffer[] encodeRequest() {
        String head = "GET /stats HTTP/1.1\r\nHost: " + backend().identity().hostAndPort() + "\r\n\r\n";
        return new ByteBuffer[] {ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1))};
    }

    @Override
    public void onHead(ResponseHead response) {
        responseHead = response;
        loadReport = parse(response.header("x-load"));
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        if (loadReport.isEmpty()) {
            loadReport = parse(StandardCharsets.UTF_8.decode(bytes).toString());
        }
        connection().resumeReading();
    }

    private List<Double> parse(String text) {
        return LoadReport.parse(text, backend().limits().loadReportFields());
    }

    @Override
    void onResponseComplete() {
        finish(responseHead.status() == OK ? EndReason.COMPLETED : EndReason.NOT_ACCEPTED);
    }

    @Override
    void onFinished(EndReason reason) {
        listener.onHealthChecked(reason.outcome(), loadReport);
    }
}
