package fawnlb.stream;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;

public class StreamStateMachineTest {
    private static final Path DOCUMENT = Path.of("../docs/design/stalled-and-broken-streams.md");
    private static final String TABLE_HEAD = "| state | what happens | state after |\n| --- | --- | --- |\n";

    @Test
    public void documentedTransitionTableMatchesCode() throws IOException {
        String text = Files.readString(DOCUMENT);

        String rest = text.substring(text.indexOf(TABLE_HEAD) + TABLE_HEAD.length());
        String table = rest.substring(0, rest.indexOf("\n\n"));

        assertEquals(String.join("\n", StreamStateMachine.documentationRows()), table);
    }

    @Test
    public void everyStateIsReachable() {
        for (StreamState state : StreamState.values()) {
            assertTrue(state + " reached", state == StreamState.AWAITING_HEAD || isReachable(state));
        }
    }

    private static boolean isReachable(StreamState state) {
        for (StreamState from : StreamState.values()) {
            for (StreamEvent event : StreamEvent.values()) {
                if (from != state && StreamStateMachine.stateAfter(from, event) == state) {
                    return true;
                }
            }
        }
        return false;
    }

    @Test
    public void everyStateClosesWithItsClient() {
        for (StreamState state : StreamState.values()) {
            boolean closes = state == StreamState.CLOSED
                    || StreamStateMachine.stateAfter(state, StreamEvent.CLIENT_CLOSED) == StreamState.CLOSED;

            assertTrue(state + " closes with its client", closes);
        }
    }
}
