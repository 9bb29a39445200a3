package fawnlb.memory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class MemoryPlanTest {
    private static final long MEGABYTE = 1 << 20;
    /** What the JVM says of a heap of 48 MB. */
    private static final long DEPLOYED_HEAP_BYTES = 48_693_248;

    private static final int MAX_EXPECTED_ENDPOINTS = 3200;

    @Test
    public void deployedHeapHasRoomForAllDescriptorsAndTheLargestFleet() {
        MemoryPlan plan = MemoryPlan.divide(DEPLOYED_HEAP_BYTES, 635, 341);

        assertEquals(635, plan.maxClientConnections());
        assertEquals(341, plan.maxBackendConnections());
        assertTrue(plan.toString(), plan.maxEndpoints() >= MAX_EXPECTED_ENDPOINTS);
        long requestBytes =
                plan.capacityBytes() - plan.responseBytes() - MAX_EXPECTED_ENDPOINTS * MemoryPlan.ENDPOINT_BYTES;
        assertTrue(plan.toString(), requestBytes > 5 * MEGABYTE);
    }

    /** More descriptors leave no less room for the endpoint list. */
    @Test
    public void deployedHeapHasRoomForTheLargestFleetWithAnyDescriptors() {
        for (int descriptors = 100; descriptors <= 100_000; descriptors *= 2) {
            MemoryPlan plan = MemoryPlan.divide(DEPLOYED_HEAP_BYTES, descriptors * 2 / 3, descriptors / 3);
            assertTrue(plan.toString(), plan.maxEndpoints() >= MAX_EXPECTED_ENDPOINTS);
        }
    }

    @Test
    public void sumOfAllPartsLeavesAQuarterOfTheHeap() {
        for (int descriptors : new int[] {50, 1000, 100_000}) {
            for (long heapBytes = 24 * MEGABYTE; heapBytes <= 1024 * MEGABYTE; heapBytes *= 2) {
                MemoryPlan plan = MemoryPlan.divide(heapBytes, descriptors, descriptors);
                long connectionBytes = 4096L * (plan.maxClientConnections() + plan.maxBackendConnections());
                assertTrue(plan.toString(), connectionBytes + plan.capacityBytes() + 6 * MEGABYTE <= heapBytes * 3 / 4);
                assertTrue(plan.toString(), plan.responseBytes() < plan.capacityBytes());
                assertTrue(plan.toString(), plan.maxEndpoints() > 0);
            }
        }
    }

    @Test
    public void smallHeapHasFewerConnectionsThanDescriptors() {
        MemoryPlan plan = MemoryPlan.divide(32 * MEGABYTE, 10_000, 5_000);

        assertTrue(plan.toString(), plan.maxClientConnections() < 10_000);
        assertTrue(plan.toString(), plan.maxBackendConnections() < 5_000);
    }
}
