package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.SharesCodec;
import org.sardinelift.protocol.generated.Start;

/**
 * Guards against calls that continue with a withdrawn key, keys that reach a target, and drains
 * that break streams, accept new calls or keep the entry's share of the limits.
 */
class KeyAndDrainTest {
    private static final int STREAMS = 1_000;

    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = EntryFixture.create();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void aWithdrawnKeyEndsRunningStreamsAndFurtherCalls() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart(
                (self, start) -> {
                    if (self.starts.size() > 1) {
                        self.echo(start);
                        return;
                    }
                    self.sendHead(start, 200, "text/event-stream");
                    self.sendData(start, 0, "data: a\n\n");
                });
        CompletableFuture<BufferedHttpResponse> stream = chat(entry, "tag 7");
        await().until(() -> companion.starts.size() == 1);
        // Sent on the same connection after the stream's first part, which has thus arrived.
        assertEquals(200, chat(entry, "tag 6").get(20, TimeUnit.SECONDS).status());

        fixture.withdrawKey();

        BufferedHttpResponse endedAnswer = stream.get(20, TimeUnit.SECONDS);
        assertTrue(endedAnswer.text().contains("event: error"), endedAnswer.text());
        assertTrue(endedAnswer.text().contains("\"kind\":\"key_withdrawn\""));
        await().until(() -> companion.cancels.size() == 1);
        assertEquals(401, chat(entry, "tag 8").get(20, TimeUnit.SECONDS).status());
        assertEquals(2, companion.starts.size());
    }

    @Test
    void aDrainTurnsReadinessFirstAndCutsNoneOfAThousandStreams() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart(
                (self, start) -> {
                    self.sendHead(start, 200, "text/event-stream");
                    self.sendData(start, 0, "data: a\n\n");
                });
        List<CompletableFuture<BufferedHttpResponse>> streams = new ArrayList<>();
        for (int call = 0; call < STREAMS; call++) {
            streams.add(chat(entry, "tag " + call));
        }
        await().untilAsserted(() -> assertEquals(STREAMS, companion.starts.size()));

        CompletableFuture<Void> drained = entry.drain();
        await().until(() -> fixture.status(entry).contains("\"ready\":false"));
        await().until(() -> chat(entry, "late").get().status() == 503);
        await().until(() -> !hasShare("e1"));
        assertThrows(TimeoutException.class, () -> drained.get(2, TimeUnit.SECONDS));
        for (Start start : companion.starts) {
            companion.sendData(start, 9, "data: b\n\n");
            companion.sendFinish(start, 18);
        }

        drained.get(20, TimeUnit.SECONDS);
        entry.close();
        for (CompletableFuture<BufferedHttpResponse> stream : streams) {
            assertEquals("data: a\n\ndata: b\n\n", stream.get(20, TimeUnit.SECONDS).text());
        }
    }

    @Test
    void aDrainedEntryReturnsItsShare() throws Exception {
        EntryProcess first = fixture.startEntry("e1");
        fixture.startEntry("e2");
        await().until(() -> hasShare("e1") && hasShare("e2"));

        first.drain().get(20, TimeUnit.SECONDS);
        first.close();

        Shares shares = shares();
        assertEquals(0, unitsOf(shares, "e1"));
        assertEquals(Shares.TOTAL_UNITS, shares.pool() + unitsOf(shares, "e2"));
    }

    private boolean hasShare(String entry) {
        return unitsOf(shares(), entry) > 0;
    }

    private Shares shares() {
        return fixture.platform.read(SharesCodec.OBJECT_KEY).join()
                        instanceof ReadResult.Found found
                ? (Shares)
                        assertInstanceOf(
                                        DecodeResult.Valid.class,
                                        SharesCodec.decode(found.object().value()))
                                .item()
                : Shares.initial();
    }

    private static long unitsOf(Shares shares, String entry) {
        return shares.members().entrySet().stream()
                .filter(member -> member.getKey().instance().equals(entry))
                .mapToLong(member -> member.getValue().units())
                .sum();
    }

    @Test
    void noTargetSeesTheCallersKey() throws Exception {
        FakeCompanion plain = fixture.startCompanion("c1", "plain");
        EntryProcess entry = fixture.startEntry("e1");
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        for (String name : List.of("x-api-key", "cookie", "proxy-authorization", "x-other")) {
            headers.put(name, EntryFixture.KEY);
        }
        String query = "?api_key=1&a=" + EntryFixture.KEY + "&Access-Token=2&tag=7&a%70ikey=3";

        assertEquals(
                200, fixture.send(entry, "GET", "/services/plain/x" + query, headers, "").status());
        assertEquals("/x?tag=7", plain.starts.get(0).getPath());
        assertFalse(plain.starts.get(0).toString().contains(EntryFixture.KEY));
        assertEquals(
                400,
                fixture.send(entry, "POST", "/services/plain/x", headers, "key=" + EntryFixture.KEY)
                        .status());
        assertEquals(1, plain.starts.size());
    }

    @Test
    void aJobWhoseLinesHoldTheCallersKeyIsRefused() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        headers.put("Job-Key", "with-a-key");
        String line =
                "{\"custom_id\":\"1\",\"method\":\"POST\",\"url\":\"/services/plain/x\",\"body\":\""
                        + EntryFixture.KEY
                        + "\"}";

        BufferedHttpResponse answer = fixture.send(entry, "POST", "/v1/batches", headers, line);

        assertEquals(400, answer.status(), answer.text());
    }

    private CompletableFuture<BufferedHttpResponse> chat(EntryProcess entry, String text)
            throws Exception {
        String body = "{\"model\":\"m1\",\"messages\":[{\"content\":\"" + text + "\"}]}";
        return fixture.client.call(
                fixture.request(
                        entry, "POST", "/v1/chat/completions", EntryFixture.authorized(), body));
    }
}
