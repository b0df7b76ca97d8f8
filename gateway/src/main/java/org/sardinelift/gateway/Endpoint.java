package org.sardinelift.gateway;

import org.sardinelift.settings.SettingsNode;

/**
 * A network address.
 *
 * @param host IP address
 * @param port port; 0 to bind any free port
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Reads an address written as {@code host:port}.
     *
     * @param node the settings object
     * @param name field name
     * @return the address
     */
    static Endpoint read(SettingsNode node, String name) {
        String text = node.text(name);
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? -1 : port(text.substring(colon + 1));
        if (port < 0 || port > MAX_PORT) {
            node.addError(name, "an address such as 10.0.0.1:8080", text, "Correct it.");
            return new Endpoint("127.0.0.1", 0);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    /**
     * Whether a connection can be opened to a port.
     *
     * @param port the port
     * @return false if it is out of range
     */
    public static boolean isConnectable(int port) {
        return port > 0 && port <= MAX_PORT;
    }

    private static int port(String digits) {
        try {
            return Integer.parseInt(digits);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
