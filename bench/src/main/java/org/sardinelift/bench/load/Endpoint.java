package org.sardinelift.bench.load;

/**
 * Address that requests are sent to.
 *
 * @param host IP address
 * @param port port number
 */
public record Endpoint(String host, int port) {

    /**
     * Parses an address.
     *
     * @param text {@code HOST:PORT}
     * @return the address
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("expected HOST:PORT, found " + text);
        }
        return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
