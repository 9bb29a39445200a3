package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.discovery.EndpointListFormatException.Reason;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class EndpointListReceiverTest {
    private record Update(EndpointUpdateKind kind, EndpointList list) {}

    private final List<Update> updates = new ArrayList<>();
    private final EndpointListReceiver receiver =
            new EndpointListReceiver((kind, list) -> updates.add(new Update(kind, list)));

    private static String json(long revision, boolean complete) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[]}";
    }

    private static EndpointList list(long revision, boolean complete) {
        return new EndpointList(revision, complete, List.of());
    }

    @Test
    public void cachedListIsDeliveredAndItsRevisionIsWatchedFrom() {
        receiver.startFrom(list(7, true));

        assertEquals(7, receiver.revision());
        assertEquals(List.of(new Update(EndpointUpdateKind.CACHED, list(7, true))), updates);
    }

    @Test
    public void changesRaiseTheRevision() throws EndpointListFormatException {
        receiver.acceptFromWatch(json(5, true));
        receiver.acceptFromWatch(json(6, false));

        assertEquals(6, receiver.revision());
        assertEquals(new Update(EndpointUpdateKind.DELTA, list(6, false)), updates.get(1));
    }

    @Test
    public void olderChangesAreRejectedAndTheNextWatchStartsFromTheWholeList() throws EndpointListFormatException {
        receiver.acceptFromWatch(json(5, true));

        EndpointListFormatException rejection =
                assertThrows(EndpointListFormatException.class, () -> receiver.acceptFromWatch(json(4, false)));

        assertEquals(Reason.STALE_REVISION, rejection.reason());
        assertEquals("revision 4 after 5", rejection.getMessage());
        assertEquals(0, receiver.revision());
        assertEquals(1, updates.size());
    }

    /** A service that has started anew counts from a lower number. */
    @Test
    public void wholeListFromAWatchMayLowerTheRevision() throws EndpointListFormatException {
        receiver.acceptFromWatch(json(5, true));
        receiver.acceptFromWatch(json(2, true));

        assertEquals(2, receiver.revision());
    }

    /** A watch may have brought a newer list since the fetch began. */
    @Test
    public void fetchedListDoesNotLowerTheRevision() throws EndpointListFormatException {
        receiver.acceptFromWatch(json(5, true));
        receiver.acceptFromFetch(json(4, true));

        assertEquals(5, receiver.revision());
        assertEquals(new Update(EndpointUpdateKind.FULL, list(4, true)), updates.get(1));
    }

    @Test
    public void confirmationIsDeliveredAsChangesThatNameNobody() throws EndpointListFormatException {
        receiver.acceptFromWatch(json(5, true));
        receiver.confirmUnchanged();

        assertEquals(new Update(EndpointUpdateKind.DELTA, list(5, false)), updates.get(1));
    }
}
