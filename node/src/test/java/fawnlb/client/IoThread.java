package fawnlb.client;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.rules.ExternalResource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An I/O thread for a test, which ends with the test. */
final class IoThread extends ExternalResource {
    static final long TIMEOUT_SECONDS = 10;

    private XnioWorker worker;

    /** An action that may throw any exception. */
    @FunctionalInterface
    interface Action {
        void run() throws Exception;
    }

    @Override
    protected void before() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @Override
    protected void after() {
        worker.shutdownNow();
    }

    XnioWorker worker() {
        return worker;
    }

    XnioIoThread thread() {
        return worker.getIoThread();
    }

    /** Runs a task on the thread and waits for its end. */
    void run(Runnable task) throws Exception {
        FutureTask<?> call = new FutureTask<>(task, null);
        thread().execute(call);
        call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Blocks the thread while an action runs on the calling thread, and then runs a task before it polls its sockets.
     */
    void blockDuring(Action action, Runnable task) throws Exception {
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
