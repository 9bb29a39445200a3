package fawnlb.stream;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointId;
import java.util.List;
import org.junit.Test;

public class StreamRegistryTest {
    private final StreamHarness harness = new StreamHarness();

    @Test
    public void removedBackendIsDroppedWithItsLastStream() {
        ResponseStream stream = harness.openStreamingStream(1);

        harness.registry.onBackendRemoved(EndpointId.ofNumber(1));
        assertEquals(1, harness.registry.statistics().size());

        stream.onBackendEnded(EndReason.CONNECTION_LOST);
        stream.close();
        assertEquals(List.of(), harness.registry.statistics());
    }
}
