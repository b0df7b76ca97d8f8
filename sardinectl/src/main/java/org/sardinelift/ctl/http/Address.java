package org.sardinelift.ctl.http;

import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.ParseException;

/**
 * Address of a server.
 *
 * @param host IP address or name
 * @param port port number
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses one address.
     *
     * @param text {@code HOST:PORT}
     * @return the address
     * @throws ParseException if the text is malformed
     */
    public static Address parse(String text) throws ParseException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException ignored) {
            // Reported below, as for any other malformed address.
        }
        throw new ParseException("expected HOST:PORT, found " + text);
    }

    /**
     * Parses a list of addresses.
     *
     * @param text addresses separated by commas
     * @return the addresses
     * @throws ParseException if one of them is malformed
     */
    public static List<Address> parseList(String text) throws ParseException {
        List<Address> addresses = new java.util.ArrayList<>();
        for (String each : Stream.of(text.split(",")).filter(part -> !part.isBlank()).toList()) {
            addresses.add(parse(each.strip()));
        }
        return List.copyOf(addresses);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
