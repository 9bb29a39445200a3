package fawnlb.eventloop;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;

/** Calls from other threads into the event loop that wait for the result. */
public final class EventLoopCall {
    private EventLoopCall() {}

    /**
     * Runs the task on the event loop, after all that was handed to it before, and returns its result. Must not be
     * called on the event loop itself, which would wait for itself.
     *
     * @throws IllegalStateException if the task throws; the cause is what it threw
     */
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
