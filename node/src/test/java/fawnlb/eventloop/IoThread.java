package fawnlb.eventloop;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.rules.ExternalResource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An I/O thread for a test, which ends with the test. */
public final class IoThread extends ExternalResource {
    public static final long TIMEOUT_SECONDS = 10;

    private XnioWorker worker;

    /** An action that may throw any exception. */
    @FunctionalInterface
    public interface Action {
        void run() throws Exception;
    }

    /** Starts the thread. JUnit calls it, and rules that contain this rule. */
    @Override
    public void before() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    /** Ends the thread. JUnit calls it, and rules that contain this rule. */
    @Override
    public void after() {
        worker.shutdownNow();
    }

    /** The worker to which the thread belongs. */
    public XnioWorker worker() {
        return worker;
    }

    /** The thread. */
    public XnioIoThread thread() {
        return worker.getIoThread();
    }

    /** Runs a task on the thread and waits for its end. */
    public void run(Runnable task) throws Exception {
        FutureTask<?> call = new FutureTask<>(task, null);
        thread().execute(call);
        call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Evaluates a condition on the thread until it holds, and fails if it does not within the timeout. */
    public void awaitUntil(BooleanSupplier condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        boolean[] holds = new boolean[1];
        while (!holds[0]) {
            assertTrue("within the timeout", System.nanoTime() < deadlineNanos);
            run(() -> holds[0] = condition.getAsBoolean());
        }
    }

    /**
     * Blocks the thread while an action runs on the calling thread, and then runs a task before it polls its sockets.
     */
    public void blockDuring(Action action, Runnable task) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch actionDone = new CountDownLatch(1);
        FutureTask<?> blocking = new FutureTask<>(() -> {
            blocked.countDown();
            actionDone.await();
            task.run();
            return null;
        });
        thread().execute(blocking);
        assertTrue(blocked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        action.run();
        actionDone.countDown();
        blocking.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
