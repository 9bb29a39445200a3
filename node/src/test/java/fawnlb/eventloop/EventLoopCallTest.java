package fawnlb.eventloop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.After;
import org.junit.Test;

public class EventLoopCallTest {
    private final ExecutorService eventLoop = Executors.newSingleThreadExecutor();

    @After
    public void stopEventLoop() {
        eventLoop.shutdown();
    }

    @Test
    public void taskRunsAfterThoseHandedOverBeforeAndItsResultIsReturned() throws InterruptedException {
        List<Integer> ran = new ArrayList<>();
        eventLoop.execute(() -> ran.add(1));

        List<Integer> seen = EventLoopCall.callAndWait(eventLoop, () -> List.copyOf(ran));

        assertEquals(List.of(1), seen);
    }

    @Test
    public void exceptionOfTheTaskIsTheCause() {
        IOException failure = new IOException("meant to fail");

        IllegalStateException thrown = assertThrows(
                IllegalStateException.class,
                () -> EventLoopCall.callAndWait(eventLoop, () -> {
                    throw failure;
                }));

        assertSame(failure, thrown.getCause());
    }
}
