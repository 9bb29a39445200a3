package fawnlb.translation;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class ErrorBodyTest {
    @Test
    public void errorHasTypeAndCodeOfItsStatusInChatDialect() {
        assertEquals(
                "{\"error\":{\"type\":\"rate_limit_error\",\"message\":\"too many\",\"code\":429}}",
                ErrorBody.json(Dialect.CHAT, 429, "too many"));
        assertEquals(
                "data: {\"error\":{\"type\":\"api_error\",\"message\":\"broken\",\"code\":502}}\n\n",
                ErrorBody.streamEvent(Dialect.CHAT, 502, "broken"));
    }

    @Test
    public void errorIsNamedAndTypedInMessagesDialect() {
        assertEquals(
                "{\"type\":\"error\",\"error\":{\"type\":\"request_too_large\",\"message\":\"too large\"}}",
                ErrorBody.json(Dialect.MESSAGES, 413, "too large"));
        assertEquals(
                "event: error\ndata: {\"type\":\"error\",\"error\":{\"type\":\"api_error\",\"message\":\"broken\"}}\n\n",
                ErrorBody.streamEvent(Dialect.MESSAGES, 502, "broken"));
    }
}
