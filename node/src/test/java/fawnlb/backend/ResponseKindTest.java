package fawnlb.backend;

import static org.junit.Assert.assertEquals;

import fawnlb.http.ResponseHead;
import fawnlb.stream.EndReason;
import fawnlb.translation.Dialect;
import java.util.Map;
import org.junit.Test;

public class ResponseKindTest {
    private static ResponseHead head(int status) {
        return new ResponseHead(status, Map.of(), true);
    }

    private static EndReason failureReason(ResponseHead head, Dialect backendDialect) {
        return ResponseKind.of(head).failureReason(head, backendDialect);
    }

    @Test
    public void onlyStatus200IsAnAnswer() {
        assertEquals(ResponseKind.ANSWER, ResponseKind.of(head(200)));
        assertEquals(ResponseKind.FAILURE, ResponseKind.of(head(204)));
    }

    @Test
    public void errorsThatTheClientCanCorrectAreRelayed() {
        for (int status : new int[] {400, 404, 413, 422}) {
            assertEquals("" + status, ResponseKind.CLIENT_ERROR, ResponseKind.of(head(status)));
        }
        for (int status : new int[] {401, 403, 408, 409, 429, 500, 503, 529}) {
            assertEquals("" + status, ResponseKind.FAILURE, ResponseKind.of(head(status)));
        }
    }

    @Test
    public void headerSaysThatTheRequestWasNotRun() {
        ResponseHead notRun = new ResponseHead(503, Map.of("x-not-run", "1"), true);

        assertEquals(EndReason.NOT_ACCEPTED, failureReason(notRun, Dialect.CHAT));
        assertEquals(EndReason.BACKEND_ERROR, failureReason(head(503), Dialect.CHAT));
    }

    @Test
    public void overloadStatusSaysInMessagesDialectThatTheRequestWasNotRun() {
        assertEquals(EndReason.NOT_ACCEPTED, failureReason(head(429), Dialect.MESSAGES));
        assertEquals(EndReason.NOT_ACCEPTED, failureReason(head(529), Dialect.MESSAGES));
        assertEquals(EndReason.BACKEND_ERROR, failureReason(head(429), Dialect.CHAT));
        assertEquals(EndReason.BACKEND_ERROR, failureReason(head(500), Dialect.MESSAGES));
    }

    @Test
    public void answerWithoutContentIsTruncated() {
        assertEquals(EndReason.TRUNCATED, failureReason(head(200), Dialect.CHAT));
    }
}
