package org.sardinelift.protocol;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.runtime.tls.MutualTls;
import org.sardinelift.runtime.tls.TlsSettings;

class TlsLinkTest {
    private static final ConnectionTimings TIMINGS =
            new ConnectionTimings(
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(10),
                    Duration.ofMillis(50));

    @TempDir private Path folder;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Recorder server = new Recorder();
    private final Recorder client = new Recorder();
    private FrameServer bound;

    @BeforeEach
    void start() throws Exception {
        bound =
                FrameServer.start(
                        group,
                        "127.0.0.1",
                        0,
                        files("first", "fleet-ca", "server").serverContexts(),
                        () -> hello("c1"),
                        TIMINGS,
                        server);
    }

    @AfterEach
    void stop() {
        bound.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static Hello hello(String instance) {
        return new Hello(instance, "i1", "entry", "riga", Lane.ONLINE, 1, 0);
    }

    private TlsSettings copy(String leaf, String trust, String to) throws IOException {
        Path target = Files.createDirectories(folder.resolve(to));
        copy(leaf + ".pem", target.resolve("certificate.pem"));
        copy(leaf + "-key.pem", target.resolve("key.pem"));
        copy(trust + ".pem", target.resolve("trust.pem"));
        return new TlsSettings(
                target.resolve("certificate.pem"),
                target.resolve("key.pem"),
                target.resolve("trust.pem"),
                Duration.ZERO);
    }

    private static void copy(String resource, Path to) throws IOException {
        try (var in = TlsLinkTest.class.getResourceAsStream("/tls/" + resource)) {
            Files.copy(in, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private MutualTls files(String leaf, String trust, String to) throws IOException {
        return MutualTls.open(copy(leaf, trust, to));
    }

    private FrameLink link(Supplier<SslContext> tls) {
        return FrameLink.open(
                group, "127.0.0.1", bound.port(), tls, () -> hello("e1"), TIMINGS, client);
    }

    @Test
    void processesWithCertificatesOfOneAuthorityConnect() throws Exception {
        try (FrameLink link = link(files("second", "fleet-ca", "client").clientContexts())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
        }
    }

    @Test
    void clientOfAnotherAuthorityIsRefused() throws Exception {
        try (FrameLink link = link(files("stranger", "fleet-ca", "client").clientContexts())) {
            await().during(Duration.ofMillis(500)).until(server.opened::isEmpty);
            assertTrue(client.opened.isEmpty());
        }
    }

    @Test
    void serverOfAnotherAuthorityIsRefused() throws Exception {
        try (FrameLink link = link(files("second", "other-ca", "client").clientContexts())) {
            await().during(Duration.ofMillis(500)).until(server.opened::isEmpty);
            assertTrue(client.opened.isEmpty());
        }
    }

    @Test
    void clientWithoutTlsIsRefused() {
        try (FrameLink link = link(null)) {
            await().during(Duration.ofMillis(500)).until(server.opened::isEmpty);
            assertTrue(client.opened.isEmpty());
        }
    }

    @Test
    void changedFilesApplyFromTheNextConnection() throws Exception {
        try (FrameLink link = link(files("stranger", "fleet-ca", "client").clientContexts())) {
            await().during(Duration.ofMillis(300)).until(server.opened::isEmpty);
            copy("second", "fleet-ca", "client");
            await().until(() -> server.opened.size() == 1);
        }
    }

    @Test
    void unreadableFilesFailTheStartAndAreIgnoredLater() throws Exception {
        TlsSettings settings = copy("second", "fleet-ca", "client");
        MutualTls files = MutualTls.open(settings);
        Files.writeString(settings.key(), "half a ke");
        assertThrows(IOException.class, () -> MutualTls.open(settings));
        try (FrameLink link = link(files.clientContexts())) {
            await().until(() -> server.opened.size() == 1);
        }
    }
}
