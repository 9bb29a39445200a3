package fawnlb.snapshot;

import java.io.IOException;

/** Bytes are no snapshot, or one that this version can't read. The message is one line for the log. */
public final class SnapshotFormatException extends IOException {
    private static final long serialVersionUID = 1;

    /** What is wrong with the bytes. */
    public enum Reason {
        /** There are fewer bytes than the header and its length ask for. */
        TRUNCATED,
        /** The first bytes are not a snapshot's. */
        NOT_A_SNAPSHOT,
        /** The length or the checksum does not match the content. */
        CORRUPTED,
        /** Another version of the form, which this program does not read. */
        UNSUPPORTED_VERSION,
        /** The body is not what a snapshot's body is. */
        MALFORMED_BODY,
        /** The file is larger than any snapshot. */
        TOO_LARGE
    }

    private final Reason reason;

    SnapshotFormatException(Reason reason, String message) {
        this(reason, message, null);
    }

    SnapshotFormatException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns what is wrong with the snapshot. */
    public Reason reason() {
        return reason;
    }
}
