package org.sardinelift.runtime.tls;

import java.nio.file.Path;
import java.time.Duration;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of mutual TLS between processes.
 *
 * @param certificate PEM file of its certificate chain
 * @param key PEM file of its private key, PKCS #8
 * @param trust PEM file of the trusted certificate authorities
 * @param recheckInterval time between checks whether a file has changed
 */
public record TlsSettings(Path certificate, Path key, Path trust, Duration recheckInterval) {
    private static final int DEFAULT_RECHECK_MS = 1_000;

    /**
     * Reads and validates the settings.
     *
     * @param node the {@code tls} object of the settings file
     * @return the settings; errors are recorded on the node
     */
    public static TlsSettings read(SettingsNode node) {
        return new TlsSettings(
                Path.of(node.text("certificate")),
                Path.of(node.text("key")),
                Path.of(node.text("trust")),
                node.millis("recheckMs", DEFAULT_RECHECK_MS));
    }
}
