package fawnlb.snapshot;

import fawnlb.discovery.DiscoveredEndpoint;
import java.util.List;

/**
 * The list of backends as a node remembers it. {@code savedAtMillis}: when it was written, in milliseconds since the
 * Unix epoch by the wall clock of the node that wrote it; {@code revision}: discovery's, of the last news in it.
 */
public record Snapshot(long savedAtMillis, long revision, List<Entry> entries) {

    /**
     * A backend: when discovery last named it and when it last answered, in milliseconds since the epoch, 0 for never.
     */
    public record Entry(DiscoveredEndpoint endpoint, long lastListedAtMillis, long lastResponseAtMillis) {

        /** The last sign that the backend was there, whoever gave it. */
        public long lastContactAtMillis() {
            return Math.max(lastListedAtMillis, lastResponseAtMillis);
        }
    }
}
