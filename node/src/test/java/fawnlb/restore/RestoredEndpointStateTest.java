package fawnlb.restore;

import static fawnlb.restore.RestoredEndpointState.EJECTED;
import static fawnlb.restore.RestoredEndpointState.HALF_OPEN;
import static fawnlb.restore.RestoredEndpointState.HEALTHY;
import static fawnlb.restore.RestoredEndpointState.RESTORED;
import static org.junit.Assert.assertEquals;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.Test;

public class RestoredEndpointStateTest {
    private static final Map<RestoredEndpointState, Set<RestoredEndpointState>> LEGAL = Map.of(
            RESTORED, EnumSet.of(HALF_OPEN, EJECTED),
            HALF_OPEN, EnumSet.of(HEALTHY, EJECTED),
            HEALTHY, EnumSet.of(EJECTED),
            EJECTED, EnumSet.of(HALF_OPEN));

    @Test
    public void onlyTheTransitionsOfTheDiagramAreLegal() {
        for (RestoredEndpointState from : RestoredEndpointState.values()) {
            for (RestoredEndpointState to : RestoredEndpointState.values()) {
                assertEquals(from + " to " + to, LEGAL.get(from).contains(to), from.canBecome(to));
            }
        }
    }
}
