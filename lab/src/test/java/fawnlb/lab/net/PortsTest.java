package fawnlb.lab.net;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.Test;

public class PortsTest {
    /** Of so many drawn from 17,000 ports, some would be the same. */
    private static final int DRAWN_PORTS = 1000;

    /** Guards against two servers of a run that are given one port before the first of them is bound. */
    @Test
    public void noPortIsReturnedTwice() throws IOException {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < DRAWN_PORTS; i++) {
            assertTrue(ports.add(Ports.findFreePort()));
        }
    }
}
