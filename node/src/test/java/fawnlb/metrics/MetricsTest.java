package fawnlb.metrics;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.Test;

public class MetricsTest {
    private static final Path OPERATORS_PAGE = Path.of("../docs/operations/on-call.md");

    @Test
    public void countersAppearInPrometheusTextAndInTheSummary() {
        long before = Metrics.value(Metric.ACCEPT_FAILURES, "test_kind");
        long totalBefore = Metrics.total(Metric.ACCEPT_FAILURES);
        Metrics.increment(Metric.ACCEPT_FAILURES, "test_kind");
        Metrics.increment(Metric.ACCEPT_FAILURES, "test_kind");

        assertEquals(before + 2, Metrics.value(Metric.ACCEPT_FAILURES, "test_kind"));
        assertEquals(totalBefore + 2, Metrics.total(Metric.ACCEPT_FAILURES));
        String line = "fawnlb_accept_failures_total{kind=\"test_kind\"} " + (before + 2) + '\n';
        assertTrue(Metrics.toPrometheusText(), Metrics.toPrometheusText().contains(line));
        assertTrue(Metrics.summary(), Metrics.summary().contains("accept_failures.test_kind " + (before + 2)));
    }

    /** Dashboards and alerts name these series. */
    @Test
    public void seriesNamesStayAsTheyWerePublished() {
        assertEquals(
                List.of(
                        "fawnlb_requests_total{end}",
                        "fawnlb_attempts_total{end}",
                        "fawnlb_sends_prevented_total{reason}",
                        "fawnlb_client_connections_closed_total{reason}",
                        "fawnlb_requests_rejected_total{reason}",
                        "fawnlb_memory_refusals_total{use}",
                        "fawnlb_memory_reclaims_total{use}",
                        "fawnlb_memory_reserved_bytes{use}",
                        "fawnlb_heap_bytes{kind}",
                        "fawnlb_client_connections{listener}",
                        "fawnlb_client_connections_without_request{listener}",
                        "fawnlb_client_connections_limit{listener}",
                        "fawnlb_listener_stopped_milliseconds{listener}",
                        "fawnlb_accept_failures_total{kind}",
                        "fawnlb_local_connect_failures_total{kind}",
                        "fawnlb_discovery_calls_total{result}",
                        "fawnlb_messages_dropped_total{kind}",
                        "fawnlb_invariant_violations_total{invariant}"),
                Arrays.stream(Metric.values())
                        .map(metric -> metric.seriesName() + '{' + metric.labelName() + '}')
                        .toList());
    }

    @Test
    public void invariantsAreCountedUnderTheirNamesInLowerCase() {
        for (Invariant invariant : Invariant.values()) {
            assertEquals(invariant.name().toLowerCase(Locale.ROOT), invariant.label());
        }
    }

    @Test
    public void operatorsPageDescribesEveryMetricAsTheRegistryDoes() throws IOException {
        String page = Files.readString(OPERATORS_PAGE);
        for (Metric metric : Metric.values()) {
            boolean isCounter = metric.seriesName().endsWith("_total");
            assertEquals(isCounter ? Metric.Type.COUNTER : Metric.Type.GAUGE, metric.type());
            String row = "| `" + metric.seriesName() + "` | `" + metric.labelName() + "` | " + metric.help() + " |";
            assertTrue(row, page.contains(row));
        }
    }
}
