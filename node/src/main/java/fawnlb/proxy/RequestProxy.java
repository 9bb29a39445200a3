package fawnlb.proxy;

import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.RejectionReason;
import fawnlb.stream.EndReason;
import java.util.logging.Logger;

/**
 * The core of the load balancer. It owns every request from its submission by a front to its one final answer, reports
 * to the {@link LoadBalancer} what happens to it, and has the load balancer's actions carried out. It knows no wire
 * format.
 *
 * <p>The public methods leave messages in the mailbox; all else runs on the event loop, one message at a time.
 */
public final class RequestProxy {
    /** How long before the client's own timeout the request's deadline is, for the way back and a late timer. */
    private static final long CLIENT_TIMEOUT_MARGIN_NANOS = 10_000_000;
    /** How long a request may have waited unread before the wait is taken off its timeout. */
    private static final long UNCOUNTED_QUEUE_NANOS = 100_000_000;

    private static final Logger LOG = Logger.getLogger(RequestProxy.class.getName());

    private final ProxyContext context;
    private final Mailbox mailbox;
    private final OpenRequests openRequests = new OpenRequests();
    private final LoadBalancerNotifier notifier;
    private final FinalAnswers answers;
    private final FinalDeadlines finalDeadlines;
    private volatile boolean admissionStopped;

    /** A front's hold on a request that it submitted. */
    @ThreadSafe
    public interface RequestHandle {
        /**
         * Ends the request without an answer, since its client has left. Without effect on a request that has ended.
         */
        void onClientDisconnected();
    }

    /** @param seed the seed of the load balancer's random choices */
    public RequestProxy(
            ProxyContext context,
            long seed,
            LoadBalancer.Factory loadBalancerFactory,
            Backends backends,
            EndpointWatch endpointWatch) {
        this.context = context;
        this.mailbox = context.mailbox();
        this.notifier = new LoadBalancerNotifier(context.timers());
        this.answers = new FinalAnswers(context, openRequests);
        this.finalDeadlines = new FinalDeadlines(context, answers, notifier);
        AttemptTracker tracker = new AttemptTracker(mailbox, openRequests, answers, notifier);
        ActionExecutor executor = new ActionExecutor(
                openRequests,
                answers,
                new AttemptStarter(context, backends, tracker, notifier),
                new BackgroundActions(context, backends, endpointWatch, notifier));
        notifier.connect(loadBalancerFactory.create(context.settings(), seed, executor));
    }

    /** How many requests have no final answer yet or an attempt that has not ended. */
    @ThreadSafe
    public int openRequests() {
        return openRequests.size();
    }

    /**
     * Answers every request whose response does not begin within {@link FinalDeadlines#SHUTDOWN_ANSWER_DEADLINE_NANOS}
     * from now.
     */
    @ThreadSafe
    public void beginGracefulShutdown() {
        mailbox.tellAlways(() -> finalDeadlines.beginShutdown(openRequests));
    }

    /** From now on {@link #submit} accepts no request. Those that are open go on. */
    @ThreadSafe
    public void stopAdmitting() {
        admissionStopped = true;
    }

    /**
     * Submits a request.
     *
     * @return null if the limit of open requests is reached, the mailbox is full or the proxy admits no more; the front
     *     must then reject the request
     */
    @EventLoopOnly
    public RequestHandle submit(IncomingRequest incoming, ClientConnection client) {
        ProxiedRequest request = new ProxiedRequest(incoming, client, deadline(incoming, client));
        RejectionReason obstacle = findObstacle();
        if (obstacle == null && !mailbox.tell(() -> admit(request), () -> answers.fail(request))) {
            obstacle = RejectionReason.MAILBOX_FULL;
        }
        if (obstacle != null) {
            obstacle.record(request.clientRequestId());
            return null;
        }
        return () -> mailbox.tellAlways(() -> onClientDisconnected(request));
    }

    /** Returns why no request is accepted now, null if one is. */
    private RejectionReason findObstacle() {
        if (admissionStopped) {
            return RejectionReason.SHUTDOWN;
        }
        return openRequests.size() < context.settings().limits().maxInFlightRequests()
                ? null
                : RejectionReason.OPEN_REQUESTS;
    }

    /**
     * When the response must have begun. The client's timeout runs from the request's arrival, not from its submission:
     * a backend must not be given time that has passed while the request lay unread.
     */
    private long deadline(IncomingRequest incoming, ClientConnection client) {
        Timers timers = context.timers();
        long queuedNanos = Math.max(timers.maxEventAgeNanos(), client.queuedNanos());
        long arrivedAt = timers.now() - Math.max(0, queuedNanos - UNCOUNTED_QUEUE_NANOS);
        return arrivedAt + Math.max(0, incoming.timeoutNanos() - CLIENT_TIMEOUT_MARGIN_NANOS);
    }

    /**
     * Passes a change of the endpoint list on to the load balancer. Changes must come in their order.
     *
     * @param applyToBackends changes the backends. It runs on the event loop, right before the load balancer learns of
     *     the change, so that what was decided on one list is not carried out with the backends of another
     */
    @ThreadSafe
    public void onEndpointsUpdated(LoadBalancerEvent.EndpointsUpdated update, Runnable applyToBackends) {
        mailbox.tellAlways(() -> {
            applyToBackends.run();
            notifier.report(update);
        });
    }

    private void admit(ProxiedRequest request) {
        openRequests.admit(request);
        finalDeadlines.arm(request);
        notifier.requestArrived(request);
    }

    private void onClientDisconnected(ProxiedRequest request) {
        if (request.state() == RequestState.ANSWERED) {
            return;
        }
        boolean answerPending = !request.isAnswered();
        LOG.fine(() -> request.logLine("client disconnected")
                .reason(answerPending ? "unanswered" : "response not read to its end")
                .toString());
        answers.close(request);
        if (answerPending) {
            notifier.clientDisconnected(request);
        }
        request.stopAttempt(EndReason.CLIENT_DISCONNECTED);
    }
}
