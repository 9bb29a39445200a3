package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import org.junit.Test;

public class RequestHeadValidatorTest {
    private final HttpServerExchange exchange = new HttpServerExchange(null);

    public RequestHeadValidatorTest() {
        exchange.setProtocol(Protocols.HTTP_1_1);
    }

    private void addHeader(String name, String value) {
        exchange.getRequestHeaders().add(new HttpString(name), value);
    }

    private void assertInvalid(String expectedField, String expectedText) {
        InvalidRequestException rejection =
                assertThrows(InvalidRequestException.class, () -> RequestHeadValidator.validate(exchange));
        assertEquals(400, rejection.status());
        assertEquals(expectedField, rejection.field());
        assertEquals(expectedText, rejection.getMessage());
    }

    @Test
    public void requestWithOneFramingHeaderIsValid() throws InvalidRequestException {
        addHeader("X-Note", "a\tb");
        addHeader("Transfer-Encoding", "Chunked");
        RequestHeadValidator.validate(exchange);
    }

    @Test
    public void http10IsRejected() {
        exchange.setProtocol(Protocols.HTTP_1_0);
        assertInvalid(InvalidRequestException.HEAD, "only HTTP/1.1 is spoken here");
    }

    @Test
    public void headerNameThatIsNoTokenIsRejected() {
        addHeader("X Note", "a");
        assertInvalid(InvalidRequestException.HEAD, "a header's name is not a token");
    }

    @Test
    public void controlCharacterInHeaderValueIsRejected() {
        addHeader("X-Note", "a\u0001b");
        assertInvalid("X-Note", "a header's value holds control characters");
    }

    @Test
    public void twoFramingHeadersAreRejected() {
        addHeader("Transfer-Encoding", "chunked");
        addHeader("Content-Length", "1");
        assertInvalid("Transfer-Encoding", "Transfer-Encoding: only 'chunked' is read, and alone");
    }

    @Test
    public void repeatedContentLengthIsRejected() {
        addHeader("Content-Length", "1");
        addHeader("Content-Length", "1");
        assertInvalid("Content-Length", "more than one Content-Length");
    }

    @Test
    public void malformedContentLengthIsRejected() {
        addHeader("Content-Length", "+1");
        assertInvalid("Content-Length", "Content-Length: not a length: '+1'");
    }

    @Test
    public void repeatedHeaderHasNoSingleValue() throws InvalidRequestException {
        assertNull(RequestHeadValidator.singleHeader(exchange, "X-Key"));
        addHeader("X-Key", "a");
        assertEquals("a", RequestHeadValidator.singleHeader(exchange, "X-Key"));
        addHeader("X-Key", "b");
        InvalidRequestException rejection =
                assertThrows(InvalidRequestException.class, () -> RequestHeadValidator.singleHeader(exchange, "X-Key"));
        assertEquals("X-Key", rejection.field());
        assertEquals("X-Key is given more than once", rejection.getMessage());
    }
}
