package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import java.util.function.Predicate;
import org.xnio.StreamConnection;

/** The requests whose bodies are being received. */
@EventLoopOnly
@FunctionalInterface
public interface SlowBodies {
    /**
     * Rejects, among the requests on these connections, the one whose body has been arriving for longest.
     *
     * @return false if no body has had enough time
     */
    boolean rejectSlowest(Predicate<StreamConnection> connections);
}
