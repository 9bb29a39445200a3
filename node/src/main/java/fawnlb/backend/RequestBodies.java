package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.BodyReference;
import fawnlb.translation.Dialect;

/**
 * The body of a request in the dialects that backends speak. It is there until the proxy or the exchange releases it;
 * an attempt keeps a reference of its own for as long as it needs the body.
 */
@EventLoopOnly
public final class RequestBodies {
    private final Dialect clientDialect;
    private final BodyReference original;
    private final BodyReference translated;

    /**
     * Creates the bodies of a request.
     *
     * @param original the body as the client sent it, null if no backend speaks the client's dialect
     * @param translated the body in the other dialect, null if no backend speaks that
     */
    public RequestBodies(Dialect clientDialect, BodyReference original, BodyReference translated) {
        this.clientDialect = clientDialect;
        this.original = original;
        this.translated = translated;
    }

    /** Whether there is still a body in this dialect. */
    boolean isAvailableIn(Dialect dialect) {
        BodyReference body = in(dialect);
        return body != null && !body.isClosed();
    }

    /**
     * Returns a reference to the body, which the caller has to close.
     *
     * @param dialect a dialect for which {@link #isAvailableIn} is true
     */
    BodyReference retain(Dialect dialect) {
        return in(dialect).retain();
    }

    private BodyReference in(Dialect dialect) {
        return dialect == clientDialect ? original : translated;
    }

    /** No further attempt needs the body. Without effect if it was called before. */
    void release() {
        close(original);
        close(translated);
    }

    private static void close(BodyReference body) {
        if (body != null) {
            body.close();
        }
    }
}
