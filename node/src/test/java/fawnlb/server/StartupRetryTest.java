package fawnlb.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

public class StartupRetryTest {
    private final AtomicInteger runs = new AtomicInteger();

    private String failUntilRun(int succeedingRun, IOException failure) throws IOException {
        if (runs.incrementAndGet() < succeedingRun) {
            throw failure;
        }
        return "done";
    }

    @Test
    public void stepIsRetriedUntilItSucceeds() throws IOException {
        BindException inUse = new BindException("Address already in use");

        assertEquals("done", new StartupRetry(() -> false).run("port", () -> failUntilRun(3, inUse)));
        assertEquals(3, runs.get());
    }

    @Test
    public void permanentFailureIsNotRetriedAndNamesTheResource() {
        BindException notLocal = new BindException("Cannot assign requested address");

        IOException e = assertThrows(
                IOException.class, () -> new StartupRetry(() -> false).run("port", () -> failUntilRun(9, notLocal)));

        assertEquals("port: Cannot assign requested address", e.getMessage());
        assertSame(notLocal, e.getCause());
        assertEquals(1, runs.get());
    }

    @Test
    public void requestedShutdownEndsTheRetries() {
        IOException noDescriptor = new IOException("Too many open files");

        InterruptedIOException e = assertThrows(
                InterruptedIOException.class,
                () -> new StartupRetry(() -> runs.get() == 2).run("port", () -> failUntilRun(9, noDescriptor)));

        assertEquals("shutdown requested while waiting for port: Too many open files", e.getMessage());
        assertSame(noDescriptor, e.getCause());
        assertEquals(2, runs.get());
    }
}
