package org.sardinelift.runtime.tls;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of TLS for a port whose clients need no certificates.
 *
 * @param certificate PEM file of the certificate chain
 * @param key PEM file of the private key, PKCS #8
 * @param recheckInterval time between checks whether a file has changed
 */
public record ServerTlsSettings(Path certificate, Path key, Duration recheckInterval) {
    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};
    private static final int DEFAULT_RECHECK_MS = 1_000;

    /**
     * Reads and validates the settings.
     *
     * @param node the {@code tls} object of the settings file
     * @return the settings; errors are recorded on the node
     */
    public static ServerTlsSettings read(SettingsNode node) {
        return new ServerTlsSettings(
                Path.of(node.text("certificate")),
                Path.of(node.text("key")),
                node.millis("recheckMs", DEFAULT_RECHECK_MS));
    }

    /**
     * Reads the files. Changed files are reloaded; while they can't be read, the certificate loaded
     * last stays in use.
     *
     * @return supplies the current certificate for each new connection
     * @throws IOException if a file can't be read or is not PEM; the message names the files
     */
    public Supplier<SslContext> open() throws IOException {
        FileBackedValue<SslContext> context =
                FileBackedValue.open(List.of(certificate, key), recheckInterval, this::load);
        return context::current;
    }

    private SslContext load() throws IOException {
        return SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                .protocols(PROTOCOLS)
                .build();
    }
}
