package org.sardinelift.runtime.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

/**
 * Mutual TLS 1.3 with certificates from files. A peer is authenticated by a certificate of the
 * trusted authorities, not by its address, since instances are replaced at any time. Changed files
 * are reloaded; while they can't be read, the certificates loaded last stay in use. Thread-safe.
 */
public final class MutualTls {
    private static final String PROTOCOL = "TLSv1.3";

    private final FileBackedValue<Contexts> contexts;

    private record Contexts(SslContext server, SslContext client) {}

    private MutualTls(FileBackedValue<Contexts> contexts) {
        this.contexts = contexts;
    }

    /**
     * Loads the files.
     *
     * @param settings paths of the files
     * @return the loaded certificates
     * @throws IOException if a file can't be read or is not PEM; the message names the files
     */
    public static MutualTls open(TlsSettings settings) throws IOException {
        return new MutualTls(
                FileBackedValue.open(
                        List.of(settings.certificate(), settings.key(), settings.trust()),
                        settings.recheckInterval(),
                        () -> load(settings)));
    }

    /**
     * Server side, for ports that only processes of the system may use.
     *
     * @return supplies the current certificates for each new connection; clients need their own
     */
    public Supplier<SslContext> serverContexts() {
        return () -> contexts.current().server();
    }

    /**
     * Client side, for connections to processes of the system.
     *
     * @return supplies the current certificates for each new connection
     */
    public Supplier<SslContext> clientContexts() {
        return () -> contexts.current().client();
    }

    private static Contexts load(TlsSettings settings) throws IOException {
        return new Contexts(
                SslContextBuilder.forServer(
                                settings.certificate().toFile(), settings.key().toFile())
                        .trustManager(settings.trust().toFile())
                        .clientAuth(ClientAuth.REQUIRE)
                        .protocols(PROTOCOL)
                        .build(),
                SslContextBuilder.forClient()
                        .keyManager(settings.certificate().toFile(), settings.key().toFile())
                        .trustManager(settings.trust().toFile())
                        .endpointIdentificationAlgorithm(null)
                        .protocols(PROTOCOL)
                        .build());
    }
}
