package org.sardinelift.runtime.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

/**
 * Mutual TLS 1.3 from files. A process is known by a certificate of the trusted authorities, not by
 * its address, since instances are replaced at any time. Files that change are read again; while
 * they can't be read, the certificates read last stay in force. Safe for use by several threads.
 */
public final class TlsFiles {
    private static final String PROTOCOL = "TLSv1.3";

    private final FileBackedValue<Contexts> contexts;

    private record Contexts(SslContext server, SslContext client) {}

    private TlsFiles(FileBackedValue<Contexts> contexts) {
        this.contexts = contexts;
    }

    /**
     * Reads the files.
     *
     * @param settings where they are
     * @return the certificates in force
     * @throws IOException where a file can't be read or is not PEM; the message names the files
     */
    public static TlsFiles open(TlsSettings settings) throws IOException {
        return new TlsFiles(
                FileBackedValue.open(
                        List.of(settings.certificate(), settings.key(), settings.trust()),
                        settings.recheckInterval(),
                        () -> load(settings)));
    }

    /**
     * For ports that only processes of the system may use.
     *
     * @return gives the certificates in force at each new connection; the client must show its own
     */
    public Supplier<SslContext> server() {
        return () -> contexts.current().server();
    }

    /**
     * For connections to processes of the system.
     *
     * @return gives the certificates in force at each new connection
     */
    public Supplier<SslContext> client() {
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
