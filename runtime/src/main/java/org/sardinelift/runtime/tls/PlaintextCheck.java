package org.sardinelift.runtime.tls;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.UnknownHostException;
import org.sardinelift.settings.SettingsNode;

/** Allows a port without TLS on a loopback address only. */
public final class PlaintextCheck {
    private static final String LOCALHOST = "localhost";

    private PlaintextCheck() {}

    /**
     * Records an error where a port would be open in plaintext beyond this machine.
     *
     * @param port the object of the port in the settings file
     * @param host address that the port binds, empty where an error was recorded before
     * @param tls whether the port has TLS
     */
    public static void check(SettingsNode port, String host, boolean tls) {
        if (!tls && !host.isEmpty() && !isLoopback(host)) {
            port.addError(
                    "tls",
                    "TLS, since " + host + " is not a loopback address",
                    "nothing",
                    "Set tls, or a loopback address such as 127.0.0.1 as the host.");
        }
    }

    private static boolean isLoopback(String host) {
        byte[] address = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            return address == null
                    ? host.equalsIgnoreCase(LOCALHOST)
                    : InetAddress.getByAddress(address).isLoopbackAddress();
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
