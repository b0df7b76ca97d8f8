package org.sardinelift.entry;

import org.sardinelift.settings.SettingsNode;

/**
 * An address to bind or to connect to.
 *
 * @param host IP address
 * @param port port, 0 to bind any free one
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    static Endpoint read(SettingsNode node) {
        return new Endpoint(node.text("host", "127.0.0.1"), node.integer("port", 0, 0, MAX_PORT));
    }

    /**
     * Returns the address with the port that was bound.
     *
     * @param boundPort port in use
     * @return host and port, joined by a colon
     */
    public String formatWithPort(int boundPort) {
        return host + ":" + boundPort;
    }
}
