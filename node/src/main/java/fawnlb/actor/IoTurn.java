package fawnlb.actor;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;

/** A turn on the I/O thread that another thread waits for. */
public final class IoTurn {
    private IoTurn() {}

    /** What the task returns; all that had been handed to the thread before has run by then. */
    public static <T> T take(Executor thread, Callable<T> task) throws InterruptedException {
        FutureTask<T> turn = new FutureTask<>(task);
        thread.execute(turn);
        try {
            return turn.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }
}
