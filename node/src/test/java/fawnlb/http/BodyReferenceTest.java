package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryReservation;
import fawnlb.memory.MemoryUse;
import org.junit.Test;

public class BodyReferenceTest {
    private final byte[] bytes = new byte[8];
    private final MemoryReservation memory = MemoryBudget.unlimited().open(MemoryUse.REQUEST_BODIES);
    private final BodyReference first = createFirst();

    private BodyReference createFirst() {
        memory.resize(bytes.length);
        return BodyReference.create(bytes, memory);
    }

    @Test
    public void memoryIsReleasedWithTheLastReference() {
        BodyReference second = first.retain();

        first.close();
        first.close();
        assertSame(bytes, second.bytes());
        assertEquals(bytes.length, memory.bytes());

        second.close();
        assertEquals(0, memory.bytes());
    }

    @Test
    public void closedReferenceGivesNoBytes() {
        BodyReference second = first.retain();
        first.close();

        assertTrue(first.isClosed());
        assertThrows(IllegalStateException.class, first::bytes);
        assertThrows(IllegalStateException.class, first::retain);
        assertEquals(bytes.length, second.bytes().length);
    }
}
