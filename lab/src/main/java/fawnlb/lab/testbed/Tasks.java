package fawnlb.lab.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;
import org.xnio.XnioWorker;

/** Runs tasks on other threads and returns their results or their errors to the caller. */
public final class Tasks {
    private Tasks() {}

    /** Runs a task on the worker's I/O thread and waits for its end. Must not be called on that thread. */
    static void runOn(XnioWorker worker, IoTask task) throws IOException, InterruptedException {
        FutureTask<Void> future = new FutureTask<>(() -> {
            task.run();
            return null;
        });
        worker.getIoThread().execute(future);
        await(future);
    }

    /**
     * Runs tasks on this number of threads.
     *
     * @param onProgress called on the caller's thread with the number of results that are there, in the order of tasks
     * @return the results in the order of the tasks
     */
    public static <T> List<T> runInParallel(int threads, List<Callable<T>> tasks, IntConsumer onProgress)
            throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        List<Future<T>> futures = tasks.stream().map(executor::submit).toList();
        executor.shutdown();
        List<T> results = new ArrayList<>();
        for (Future<T> future : futures) {
            results.add(await(future));
            onProgress.accept(results.size());
        }
        return results;
    }

    /**
     * Waits for a task that has to end within this time and returns its result.
     *
     * @throws IOException the error of a task that failed with one, or that the task did not end in time
     * @throws IllegalStateException if the task failed with another error; its cause is that error
     */
    public static <T> T await(Future<T> future, long timeoutSeconds) throws IOException, InterruptedException {
        try {
            return future.get(timeoutSeconds, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw toFailure(e);
        } catch (TimeoutException e) {
            throw new IOException("a task did not end within " + timeoutSeconds + " s", e);
        }
    }

    /**
     * Waits for a task and returns its result.
     *
     * @throws IOException the error of a task that failed with one
     * @throws IllegalStateException if the task failed with another error; its cause is that error
     */
    public static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw toFailure(e);
        }
    }

    private static IOException toFailure(ExecutionException e) {
        if (e.getCause() instanceof IOException failure) {
            return failure;
        }
        throw new IllegalStateException("a task has failed", e.getCause());
    }
}
