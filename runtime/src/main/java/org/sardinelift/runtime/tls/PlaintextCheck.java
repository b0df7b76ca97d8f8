package org.sardinelift.runtime.tls;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.UnknownHostException;
import org.sardinelift.settings.SettingsNode;

/** Checks that a port without TLS is bound to a loopback address. */
public final class PlaintextCheck {
    private static final String LOCALHOST = "localhost";

    private PlaintextCheck() {}

    /**
     * Records an error if a plaintext port would be reachable from other machines.
     *
     * @param port settings object of the port
     * @param host address that the port binds, empty if an error was recorded for it
     * @param hasTls whether the port has TLS
     */
    public static void check(SettingsNode port, String host, boolean hasTls) {
        if (!hasTls && !host.isEmpty() && !isLoopback(host)) {
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
