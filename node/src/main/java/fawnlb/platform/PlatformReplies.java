package fawnlb.platform;

import fawnlb.backend.Parcel;
import fawnlb.client.Replies;
import fawnlb.stream.Ending;
import io.undertow.util.StatusCodes;

/** The platform's words for one flow's answers. */
record PlatformReplies(Parcel.Tally tally) implements Replies {
    @Override
    public String servedType() {
        return tally.status() == StatusCodes.OK ? "text/event-stream" : "application/json";
    }

    @Override
    public int servedStatus() {
        return tally.status();
    }

    @Override
    public Reply refused(Ending cause) {
        return new Reply(StatusCodes.SERVICE_UNAVAILABLE, "text/plain", "refused; try again later\n");
    }

    @Override
    public Reply failed(Ending cause) {
        return new Reply(Replies.failedStatus(cause), "text/plain", "failed\n");
    }
}
