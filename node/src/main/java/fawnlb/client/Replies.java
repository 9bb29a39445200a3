package fawnlb.client;

import fawnlb.stream.Ending;
import io.undertow.util.StatusCodes;

/** How a front words its answers, and what it wants to hear at the end of each. */
public interface Replies {
    /** A fixed response. */
    record Reply(int status, String contentType, String body) {}

    /** How an exchange ended, as the client saw it. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        GONE
    }

    /** The content type of an answer that a backend gave. */
    String servedType();

    /** The status of an answer that a backend gave. */
    default int servedStatus() {
        return 200;
    }

    Reply refused(Ending cause);

    Reply failed(Ending cause);

    /** The status of a flow that failed: whether its last attempt said nothing in time, or something wrong. */
    static int failedStatus(Ending cause) {
        return cause != null && cause.isLate() ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    }

    /**
     * What a stream that breaks is closed with, in place of its last events; empty where the interface has no words for
     * it.
     */
    default String broken(Ending cause) {
        return "";
    }

    /** Told once, for a front that keeps records; status 0 if none was sent. */
    default void finished(End end, int status, Ending cause) {}
}
