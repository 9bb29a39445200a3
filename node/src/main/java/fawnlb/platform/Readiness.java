package fawnlb.platform;

import io.undertow.util.StatusCodes;

/** What {@code /health/ready} answers: whether clients should send requests to this server. */
public enum Readiness {
    READY(StatusCodes.OK, "ready"),
    /** The server does not know its endpoints yet. */
    WAITING_FOR_DISCOVERY(StatusCodes.SERVICE_UNAVAILABLE, "waiting for discovery"),
    /** The server shuts down and still serves what it accepted. */
    DRAINING(StatusCodes.SERVICE_UNAVAILABLE, "draining");

    private final int statusCode;
    private final String text;

    Readiness(int statusCode, String text) {
        this.statusCode = statusCode;
        this.text = text;
    }

    int statusCode() {
        return statusCode;
    }

    String text() {
        return text;
    }
}
