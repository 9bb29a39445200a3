package fawnlb.config;

import java.net.InetSocketAddress;

/** Parses addresses in the form {@code host:port}. */
public final class AddressParser {
    private static final int MAX_PORT = 0xffff;

    private AddressParser() {}

    /**
     * Parses an address and looks up its host, which may block.
     *
     * @param setting the name of the setting, for the message of the exception
     * @param text the address, null if the setting is missing
     * @throws ConfigurationException if the text is no address, or its host cannot be found
     */
    public static InetSocketAddress parse(String setting, String text) throws ConfigurationException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon > 0) {
            int port = parsePort(text.substring(colon + 1));
            if (port >= 0) {
                InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        }
        String found = text == null ? "nothing" : "'" + text + "'";
        throw new ConfigurationException(
                null, setting, "expected host:port of a host that can be found, found " + found);
    }

    /** Returns the port, or -1 if the text is no port. */
    private static int parsePort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port <= MAX_PORT ? port : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
