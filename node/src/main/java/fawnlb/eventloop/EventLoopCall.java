package fawnlb.eventloop;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;

/** A turn on the I/O thread that another thread waits for. */
public final class EventLoopCall {
    private EventLoopCall() {}

    /** What the task returns; all that had been handed to the thread before has run by then. */
    public static <T> T callAndWait(Executor eventLoop, Callable<T> task) throws InterruptedException {
        FutureTask<T> future = new FutureTask<>(task);
        eventLoop.execute(future);
        try {
            return future.get();
        } catch (ExecutionException failure) {
            throw new IllegalStateException(failure.getCause());
        }
    }
}
