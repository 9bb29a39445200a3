package fawnlb.flow;

/**
 * What a front hands in for a flow: the facts that the decisions need, and the parcel that only fronts and backends can
 * read. {@code patience}: nanoseconds that the client still waits for the answer to begin.
 */
public record Ask(
        int type,
        int tenant,
        long session,
        long prefix,
        long patience,
        double promptTokens,
        double prefixTokens,
        double maxTokens,
        boolean repeat,
        Parcel parcel) {

    /** The request itself, which the core carries unread. */
    public interface Parcel {
        /** The id that the client gave it, for the log. */
        default String id() {
            return "";
        }
    }
}
