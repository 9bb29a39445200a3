package fawnlb.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import org.junit.Test;

public class AddressParserTest {
    private static String rejection(String text) {
        return assertThrows(text, ConfigurationException.class, () -> AddressParser.parse("listen", text))
                .getMessage();
    }

    @Test
    public void addressIsSplitAtItsLastColon() throws ConfigurationException {
        assertEquals(80, AddressParser.parse("listen", "127.0.0.1:80").getPort());
        assertEquals("127.0.0.1", AddressParser.parse("listen", "127.0.0.1:80").getHostString());
        assertEquals(65_535, AddressParser.parse("listen", "::1:65535").getPort());
    }

    @Test
    public void invalidAddressIsRejectedWithWhatWasFound() {
        String expected = "listen: expected host:port of a host that can be found, found ";

        assertEquals(expected + "nothing", rejection(null));
        assertEquals(expected + "'127.0.0.1'", rejection("127.0.0.1"));
        assertEquals(expected + "':80'", rejection(":80"));
        assertEquals(expected + "'127.0.0.1:65536'", rejection("127.0.0.1:65536"));
        assertEquals(expected + "'127.0.0.1:-1'", rejection("127.0.0.1:-1"));
        assertEquals(expected + "'127.0.0.1:http'", rejection("127.0.0.1:http"));
    }
}
