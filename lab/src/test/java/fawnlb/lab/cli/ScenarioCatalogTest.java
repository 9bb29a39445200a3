package fawnlb.lab.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;

import java.util.List;
import java.util.Optional;
import org.junit.Test;

public class ScenarioCatalogTest {
    @Test
    public void scenariosKeepTheirNames() {
        assertEquals(
                List.of(
                        "start-without-discovery",
                        "snapshot-crash",
                        "start-time",
                        "stream-faults",
                        "fleet-size",
                        "soak",
                        "stalled-backends",
                        "slow-readers"),
                ScenarioCatalog.all().stream().map(NamedScenario::name).toList());
    }

    @Test
    public void formerNameSelectsTheRenamedScenario() {
        assertSame(
                ScenarioCatalog.find("stalled-backends").orElseThrow(),
                ScenarioCatalog.find("stalled-boxes").orElseThrow());
        assertEquals(Optional.empty(), ScenarioCatalog.find("stalled"));
    }
}
