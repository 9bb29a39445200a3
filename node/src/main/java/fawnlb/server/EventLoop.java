package fawnlb.server;

import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.EventLoopWatchdog;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ThreadSafe;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The one I/O thread that carries all connections, and the worker that it belongs to. The worker's single task thread
 * does what blocks, which is writing snapshots.
 */
@ThreadSafe
final class EventLoop {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final int MAILBOX_CAPACITY = 8192;

    private final XnioWorker worker;
    private final EventLoopTimers timers;

    private EventLoop(XnioWorker worker) {
        this.worker = worker;
        this.timers = new EventLoopTimers(worker.getIoThread());
    }

    /**
     * Starts the threads.
     *
     * @throws IOException if the selector of the I/O thread cannot be opened
     */
    static EventLoop start() throws IOException {
        return new EventLoop(Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap()));
    }

    XnioIoThread thread() {
        return worker.getIoThread();
    }

    EventLoopTimers timers() {
        return timers;
    }

    /** A mailbox whose messages are handled on the I/O thread. */
    Mailbox newMailbox() {
        return new Mailbox(thread(), MAILBOX_CAPACITY);
    }

    /** A mailbox whose messages are handled on the worker's task thread, one at a time and one waiting at most. */
    Mailbox newBlockingTaskMailbox() {
        return new Mailbox(worker, 1);
    }

    /** Starts a thread that logs where the I/O thread stands when it has handled nothing for too long. */
    void startWatchdog() {
        EventLoopWatchdog watchdog = new EventLoopWatchdog(thread(), thread()::getStackTrace, LOG::severe);
        Thread watchdogThread = new Thread(() -> checkUntilThreadEnds(watchdog), "watchdog");
        watchdogThread.setDaemon(true);
        watchdogThread.start();
    }

    private void checkUntilThreadEnds(EventLoopWatchdog watchdog) {
        try {
            while (thread().isAlive()) {
                watchdog.check(timers.now());
                TimeUnit.NANOSECONDS.sleep(EventLoopWatchdog.CHECK_INTERVAL_NANOS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RejectedExecutionException e) {
            LOG.fine("the I/O thread has ended");
        }
    }

    /** Ends the threads without waiting for what they do. */
    void stopNow() {
        worker.shutdownNow();
    }
}
