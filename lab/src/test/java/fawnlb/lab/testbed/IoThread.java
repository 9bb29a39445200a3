package fawnlb.lab.testbed;

import fawnlb.eventloop.EventLoopTimers;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.rules.ExternalResource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** JUnit rule: a worker with one I/O thread for the time of a test. */
public final class IoThread extends ExternalResource {
    private static final int TASK_TIMEOUT_SECONDS = 10;

    private XnioWorker worker;
    private EventLoopTimers timers;

    @Override
    protected void before() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        timers = new EventLoopTimers(worker.getIoThread());
    }

    @Override
    protected void after() {
        worker.shutdownNow();
    }

    public XnioWorker worker() {
        return worker;
    }

    public XnioIoThread thread() {
        return worker.getIoThread();
    }

    public EventLoopTimers timers() {
        return timers;
    }

    /** Runs a task on the I/O thread and returns its result. */
    public <T> T call(Callable<T> task) throws Exception {
        FutureTask<T> future = new FutureTask<>(task);
        worker.getIoThread().execute(future);
        return future.get(TASK_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Runs a task on the I/O thread and waits for its end. */
    public void run(IoTask task) throws Exception {
        call(() -> {
            task.run();
            return null;
        });
    }
}
