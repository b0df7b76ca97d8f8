package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.tls.MutualTls;
import org.sardinelift.runtime.tls.TlsSettings;

/**
 * Guards against plaintext, unauthenticated or wrongly trusted connections at the ports of an entry
 * with TLS, and against certificates that are not reloaded.
 */
class EntryTlsTest {
    private static final String CHAT =
            "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"tag 7\"}]}";
    private static final int READ_TIMEOUT_MS = 10_000;

    @TempDir private Path folder;
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = EntryFixture.create();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private Path copy(String resource, String copyName) throws IOException {
        Path target = folder.resolve(copyName);
        try (var in = EntryTlsTest.class.getResourceAsStream("/tls/" + resource)) {
            Files.copy(in, target, StandardCopyOption.REPLACE_EXISTING);
        }
        return target;
    }

    private TlsSettings files(String source, String copyName) throws IOException {
        return new TlsSettings(
                copy(source + ".pem", copyName + ".pem"),
                copy(source + "-key.pem", copyName + "-key.pem"),
                copy("fleet-ca.pem", copyName + "-trust.pem"),
                Duration.ZERO);
    }

    private String settings(String source, String copyName) throws IOException {
        TlsSettings files = files(source, copyName);
        String own =
                "\"certificate\":\"%s\",\"key\":\"%s\",\"recheckMs\":0"
                        .formatted(files.certificate(), files.key());
        return ",\"caller\":{\"tls\":{%s}},\"peer\":{\"tls\":{%s,\"trust\":\"%s\"}}"
                .formatted(own, own, files.trust());
    }

    private Supplier<SslContext> companionTls() throws IOException {
        return MutualTls.open(files("first", "companion")).serverContexts();
    }

    private BufferedHttpResponse chat(EntryProcess entry, SslContext tls) throws Exception {
        HttpClient client = HttpClient.create(fixture.group, Duration.ofSeconds(5), () -> tls);
        HttpCall call =
                fixture.request(
                        entry, "POST", "/v1/chat/completions", EntryFixture.authorized(), CHAT);
        return client.call(call).get(20, TimeUnit.SECONDS);
    }

    private SslContext callerTls() throws IOException {
        return SslContextBuilder.forClient()
                .trustManager(copy("fleet-ca.pem", "caller-trust.pem").toFile())
                .endpointIdentificationAlgorithm(null)
                .build();
    }

    /** Connects a client that trusts the fleet's certificate authority and has no certificate. */
    private SSLSocket connect(int port) throws Exception {
        KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
        store.load(null, null);
        try (var in = EntryTlsTest.class.getResourceAsStream("/tls/fleet-ca.pem")) {
            store.setCertificateEntry(
                    "ca", CertificateFactory.getInstance("X.509").generateCertificate(in));
        }
        TrustManagerFactory trust =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(store);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private X509Certificate presentedCertificate(EntryProcess entry) throws Exception {
        try (SSLSocket socket = connect(EntryFixture.port(entry, "caller"))) {
            socket.startHandshake();
            return (X509Certificate) socket.getSession().getPeerCertificates()[0];
        }
    }

    @Test
    void aCallPassesFromACallerOverTlsToACompanionOverMutualTls() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", companionTls(), "m1");
        EntryProcess entry = fixture.startEntry("e1", settings("second", "entry"));

        BufferedHttpResponse answer = chat(entry, callerTls());

        assertEquals(200, answer.status());
        assertEquals(CHAT, answer.text());
        assertEquals(1, companion.starts.size());
    }

    @Test
    void aCallerWithoutTlsIsRefused() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", companionTls(), "m1");
        EntryProcess entry = fixture.startEntry("e1", settings("second", "entry"));

        assertThrows(ExecutionException.class, () -> fixture.chat(entry, CHAT));
        assertTrue(companion.starts.isEmpty());
    }

    @Test
    void aClientWithoutACertificateIsRefusedAtThePeerPort() throws Exception {
        EntryProcess entry = fixture.startEntry("e1", settings("second", "entry"));
        try (SSLSocket socket = connect(EntryFixture.port(entry, "peer"))) {
            SSLException refusal =
                    assertThrows(
                            SSLException.class,
                            () -> {
                                socket.startHandshake();
                                socket.getInputStream().read();
                            });
            assertTrue(
                    refusal.getMessage().matches("(?s).*fatal alert:.*certificate.*"),
                    refusal.toString());
        }
    }

    @Test
    void aClientWithoutTlsIsRefusedAtThePeerPort() throws Exception {
        EntryProcess entry = fixture.startEntry("e1", settings("second", "entry"));
        try (Socket socket = new Socket("127.0.0.1", EntryFixture.port(entry, "peer"))) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(new byte[64]);
            byte[] answer = socket.getInputStream().readAllBytes();
            assertFalse(new String(answer, StandardCharsets.ISO_8859_1).contains("e1"));
        }
    }

    @Test
    void entriesReachEachOtherOverMutualTls() throws Exception {
        EntryProcess first = fixture.startEntry("e1", settings("first", "e1"));
        EntryProcess second = fixture.startEntry("e2", settings("second", "e2"));

        await().until(() -> fixture.status(first).contains("\"peers\":1"));
        await().until(() -> fixture.status(second).contains("\"peers\":1"));
    }

    @Test
    void anEntryOfAnotherAuthorityReachesNoCompanion() throws Exception {
        fixture.startCompanion("c1", "engine", companionTls(), "m1");
        EntryProcess entry = fixture.startEntryWithoutWaiting("e1", settings("stranger", "entry"));

        await().during(Duration.ofMillis(500))
                .until(() -> !fixture.status(entry).contains("\"usable\":true"));
    }

    @Test
    void aChangedCertificateIsUsedForNewConnections() throws Exception {
        EntryProcess entry = fixture.startEntry("e1", settings("first", "entry"));
        AtomicReference<X509Certificate> before =
                new AtomicReference<>(presentedCertificate(entry));

        files("second", "entry");

        await().ignoreExceptions().until(() -> !presentedCertificate(entry).equals(before.get()));
    }

    @Test
    void anUnreadableKeyFileIsNamedAtTheStart() throws Exception {
        String settings = settings("second", "entry");
        Path key = folder.resolve("entry-key.pem");
        Files.writeString(key, "half a ke");

        IOException error =
                assertThrows(
                        IOException.class, () -> fixture.startEntryWithoutWaiting("e1", settings));
        assertTrue(error.getMessage().contains(key.toString()), error.getMessage());
    }
}
