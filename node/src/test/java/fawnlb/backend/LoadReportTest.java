package fawnlb.backend;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

public class LoadReportTest {
    @Test
    public void valuesFollowOrderOfConfiguredFields() {
        Object[][] cases = {
            {"TEXT inflight=7, queue=2, util=0.61", List.of("waiting", "active"), List.of(2.0, 7.0)},
            {"TEXT queue=2", List.of("waiting", "cpu"), List.of(2.0, 0.0)},
            {"queue=2 x0=0.5", List.of("x0"), List.of(0.5)},
            {"", List.of("waiting"), List.of()},
            {"ready", List.of("waiting"), List.of()},
            {"queue=many", List.of("waiting"), List.of()},
            {"queue=-1", List.of("waiting"), List.of()},
            {"queue=NaN", List.of("waiting"), List.of()},
            {"queue=1", List.of(), List.of()}
        };
        for (Object[] row : cases) {
            @SuppressWarnings("unchecked")
            List<String> fields = (List<String>) row[1];
            assertEquals(row[0].toString(), row[2], LoadReport.parse((String) row[0], fields));
        }
    }
}
