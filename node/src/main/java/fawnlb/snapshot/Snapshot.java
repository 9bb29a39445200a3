package fawnlb.snapshot;

import fawnlb.discovery.DiscoveredEndpoint;
import java.util.List;

/**
 * The endpoint list as an instance keeps it on disk. Times are milliseconds since the Unix epoch.
 *
 * @param savedAtMillis when it was written, by the wall clock of the instance that wrote it
 * @param revision discovery's revision of the last list in it
 */
public record Snapshot(long savedAtMillis, long revision, List<Entry> entries) {

    /**
     * One endpoint.
     *
     * @param lastListedAtMillis when discovery last named it; 0 for never
     * @param lastResponseAtMillis when it last responded to this instance; 0 for never
     */
    public record Entry(DiscoveredEndpoint endpoint, long lastListedAtMillis, long lastResponseAtMillis) {

        /** When there was last a sign that the endpoint was there, from discovery or from itself. */
        public long lastContactAtMillis() {
            return Math.max(lastListedAtMillis, lastResponseAtMillis);
        }
    }
}
