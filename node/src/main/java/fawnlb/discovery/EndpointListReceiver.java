package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.discovery.EndpointListFormatException.Reason;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.metrics.LogLine;
import java.util.List;
import java.util.logging.Logger;

/**
 * Decides what a list that has come in means for the endpoint list that is held, and hands it to the listener. It keeps
 * the revision from which the next watch starts. It belongs to the I/O thread of the {@link DiscoveryClient}.
 */
@EventLoopOnly
final class EndpointListReceiver {
    private static final Logger LOG = Logger.getLogger(EndpointListReceiver.class.getName());

    private final DiscoveryListener listener;
    private long revision;

    EndpointListReceiver(DiscoveryListener listener) {
        this.listener = listener;
    }

    /** The revision of the endpoint list that is held; 0 asks discovery for the whole list. */
    long revision() {
        return revision;
    }

    /** Takes the endpoint list that the instance held when it last ran, or none if there is no room for it. */
    void startFrom(EndpointList cachedList) {
        EndpointList usableList = cachedList;
        try {
            listener.checkRoom(cachedList);
        } catch (EndpointListFormatException e) {
            LOG.warning(LogLine.event("known endpoints not used")
                    .reason(e.getMessage())
                    .toString());
            usableList = new EndpointList(0, true, List.of());
        }
        revision = usableList.revision();
        listener.onDiscoveryUpdate(EndpointUpdateKind.CACHED, usableList);
    }

    /**
     * Takes a list from a watch. A whole list counts as it stands, since a service that has started anew, or another
     * one, may count revisions from a lower number.
     *
     * @throws EndpointListFormatException if it is no list, there is no room for it, or its changes are older than what
     *     is held; the next watch then asks for the whole list
     */
    void acceptFromWatch(String json) throws EndpointListFormatException {
        EndpointList list = EndpointListCodec.parse(json);
        if (!list.complete() && list.revision() < revision) {
            long heldRevision = revision;
            revision = 0;
            throw new EndpointListFormatException(
                    Reason.STALE_REVISION, "revision " + list.revision() + " after " + heldRevision);
        }
        listener.checkRoom(list);
        revision = list.revision();
        deliver(list);
    }

    /**
     * Takes a list that was fetched on a call of its own; a watch may have brought a newer one since.
     *
     * @throws EndpointListFormatException if it is no list, or there is no room for it
     */
    void acceptFromFetch(String json) throws EndpointListFormatException {
        EndpointList list = EndpointListCodec.parse(json);
        listener.checkRoom(list);
        revision = Math.max(revision, list.revision());
        deliver(list);
    }

    private void deliver(EndpointList list) {
        listener.onDiscoveryUpdate(list.complete() ? EndpointUpdateKind.FULL : EndpointUpdateKind.DELTA, list);
    }

    /** Discovery has answered a watch, and nothing has changed since the revision that is held. */
    void confirmUnchanged() {
        listener.onDiscoveryUpdate(EndpointUpdateKind.DELTA, EndpointList.unchanged(revision));
    }

    /** An empty line on a watch that was answered before, or on a fetch. */
    void heartbeat() {
        listener.onHeartbeat();
    }

    /** A call has failed in this way, and the endpoint list that is held stands. */
    void callFailed(EndpointUpdateKind kind) {
        listener.onDiscoveryUpdate(kind, null);
    }
}
