package org.sardinelift.runtime.tls;

import java.nio.file.Path;
import java.time.Duration;
import org.sardinelift.settings.SettingsNode;

/**
 * Where the certificates of a process are.
 *
 * @param certificate PEM file of its certificate chain
 * @param key PEM file of its private key, PKCS #8
 * @param trust PEM file of the authorities whose certificates it trusts
 * @param recheckInterval time between two looks at whether a file has changed
 */
public record TlsSettings(Path certificate, Path key, Path trust, Duration recheckInterval) {
    private static final int DEFAULT_RECHECK_MS = 1_000;

    /**
     * Reads and checks the settings.
     *
     * @param node the {@code tls} object of the settings file
     * @return the settings; errors are recorded at the node
     */
    public static TlsSettings read(SettingsNode node) {
        return new TlsSettings(
                Path.of(node.text("certificate")),
                Path.of(node.text("key")),
                Path.of(node.text("trust")),
                node.millis("recheckMs", DEFAULT_RECHECK_MS));
    }
}
