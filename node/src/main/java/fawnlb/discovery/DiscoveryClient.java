package fawnlb.discovery;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import fawnlb.proxy.EndpointWatch;
import java.net.InetSocketAddress;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/**
 * The client of service discovery. It watches the endpoint list on a connection that stays open, and fetches the whole
 * list on request. It makes a call only on request; {@link fawnlb.membership.SubscriptionSchedule} decides when.
 *
 * <p>Its methods may be called from any thread; the work is done on the I/O thread, in the order of the calls.
 */
@ThreadSafe
public final class DiscoveryClient implements EndpointWatch {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

    private final Mailbox mailbox;
    private final EndpointListReceiver receiver;
    private final DiscoveryCall.Context callContext;
    private InetSocketAddress address;
    private WatchCall activeWatch;

    /**
     * Creates a client that has made no call.
     *
     * @param mailbox runs the client's messages on the I/O thread
     * @param address where discovery listens
     * @param listener receives lists and failures
     */
    public DiscoveryClient(
            XnioIoThread ioThread,
            Timers timers,
            Mailbox mailbox,
            InetSocketAddress address,
            DiscoveryListener listener) {
        this.mailbox = mailbox;
        this.address = address;
        this.receiver = new EndpointListReceiver(listener);
        this.callContext =
                new DiscoveryCall.Context(ioThread, timers, mailbox, receiver, new DiscoveryFailureLog(timers));
    }

    /** Starts from the endpoint list that the instance last held, before any call is made. */
    public void startFromCachedList(EndpointList cachedList) {
        mailbox.tellAlways(() -> receiver.startFrom(cachedList));
    }

    /**
     * Takes the endpoint list from another address from here on. The watch moves at once, whether it is open or waits
     * to be opened again: a change counts as notified soon after discovery has it, and the old address does not tell of
     * it any more.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        mailbox.tellAlways(() -> {
            if (!newAddress.equals(address)) {
                LOG.info(LogLine.event("discovery address changed")
                        .with("from", address.toString())
                        .with("to", newAddress.toString())
                        .toString());
                address = newAddress;
                if (activeWatch != null) {
                    reopenWatch();
                }
            }
        });
    }

    @Override
    public void watchEndpoints() {
        mailbox.tellAlways(() -> {
            // A call that a change of address has made keeps its place in the queue there; its own timeout ends it.
            if (activeWatch == null || !activeWatch.isAwaitingAnswer()) {
                reopenWatch();
            }
        });
    }

    private void reopenWatch() {
        if (activeWatch != null) {
            activeWatch.close();
        }
        activeWatch = new WatchCall(callContext, address);
        activeWatch.start();
    }

    @Override
    public void fetchEndpoints() {
        mailbox.tell(() -> new FetchCall(callContext, address).start());
    }
}
