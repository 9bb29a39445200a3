package fawnlb.backend;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

public class LoadReportTest {
    @Test
    public void valuesFollowOrderOfConfiguredFields() {
        assertParsed("TEXT inflight=7, queue=2, util=0.61", List.of("waiting", "active"), List.of(2.0, 7.0));
    }

    @Test
    public void missingValueIsZero() {
        assertParsed("TEXT queue=2", List.of("waiting", "cpu"), List.of(2.0, 0.0));
    }

    @Test
    public void unknownFieldIsReadByItsOwnName() {
        assertParsed("queue=2 x0=0.5", List.of("x0"), List.of(0.5));
    }

    @Test
    public void textWithoutConfiguredFieldIsNoReport() {
        assertParsed("", List.of("waiting"), List.of());
        assertParsed("ready", List.of("waiting"), List.of());
        assertParsed("queue=1", List.of(), List.of());
    }

    @Test
    public void valueThatIsNoFiniteNumberFromZeroIsMissing() {
        assertParsed("queue=many", List.of("waiting"), List.of());
        assertParsed("queue=-1", List.of("waiting"), List.of());
        assertParsed("queue=NaN", List.of("waiting"), List.of());
    }

    private static void assertParsed(String text, List<String> fields, List<Double> expected) {
        assertEquals(text, expected, LoadReport.parse(text, fields));
    }
}
