package fawnlb.discovery;

import fawnlb.discovery.EndpointListFormatException.Reason;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Fetches the whole list once. */
final class FetchCall extends DiscoveryCall {
    private final List<String> fetchedLists = new ArrayList<>();

    FetchCall(Context context, InetSocketAddress address) {
        super(context, address, "/registry/instances", "fetch");
    }

    @Override
    void onEvent(WatchEvent event) {
        if (event instanceof WatchEvent.JsonObject object) {
            fetchedLists.add(object.json());
        } else {
            context().receiver().heartbeat();
        }
    }

    @Override
    void onResponseEnd() throws EndpointListFormatException {
        if (isWithinObject() || fetchedLists.size() != 1) {
            throw new EndpointListFormatException(Reason.INCOMPLETE, "expected one whole list");
        }
        context().receiver().acceptFromFetch(fetchedLists.get(0));
        close();
    }
}
