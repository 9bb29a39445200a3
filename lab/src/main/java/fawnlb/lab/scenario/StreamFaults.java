package fawnlb.lab.scenario;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.util.Random;

/**
 * Every fault at every byte offset of a response, for each pair of API formats, streamed and not, at the second front
 * of a real node. Responses are compared with what the same request gets without a fault.
 */
public final class StreamFaults implements Scenario {
    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        FaultStatistics statistics = new FaultStatistics();
        boolean allClosed = true;
        for (Dialect backendDialect : Dialect.values()) {
            allClosed &= new FaultRound(backendDialect, statistics, new Random(seed), length).run();
        }
        statistics.print();
        ScenarioReport report = new ScenarioReport();
        report.addMeasurement(
                "requests with a fault in their responses", Integer.toString(statistics.faultyRequests()));
        report.addMeasurement("requests beside them without one", Integer.toString(statistics.cleanRequests()));
        for (ResponseViolation violation : ResponseViolation.values()) {
            report.addZeroCheck(violation.title(), statistics.violationCount(violation));
        }
        report.addCheck(
                "streams and bytes left at the nodes afterwards", allClosed ? "none" : "some", "none", allClosed);
        return report;
    }
}
