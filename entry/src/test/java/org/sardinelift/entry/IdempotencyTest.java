package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.RunOutcome;

/**
 * Guards against a call with an Idempotency-Key that runs twice or gets another call's answer, when
 * it is resent through another entry or the platform loses answers.
 */
class IdempotencyTest {
    private EntryFixture fixture;
    private FakeCompanion plain;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.create();
        plain = fixture.startCompanion("c1", "plain");
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void aResendThroughAnotherEntryGetsTheRecordedAnswer() throws Exception {
        BufferedHttpResponse first =
                sendFine(fixture.startEntry("e1"), "{\"fine\":1}").get(20, TimeUnit.SECONDS);
        EntryProcess other = fixture.startEntry("e2");

        await().until(
                        () -> {
                            BufferedHttpResponse resent = sendFine(other, "{\"fine\":1}").get();
                            return resent.status() == 200 && resent.text().equals(first.text());
                        });

        assertEquals(1, plain.starts.size());
        BufferedHttpResponse reused = sendFine(other, "{\"fine\":2}").get(20, TimeUnit.SECONDS);
        assertEquals(422, reused.status());
        assertTrue(reused.text().contains("idempotency_key_reused"));
        assertEquals(1, plain.starts.size());
    }

    @Test
    void aResendWhileTheFirstRunsIsRefusedAsAConflict() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        EntryProcess other = fixture.startEntry("e2");
        plain.onStart((self, start) -> {});
        CompletableFuture<BufferedHttpResponse> first = sendFine(entry, "{}");
        await().until(() -> plain.starts.size() == 1);

        BufferedHttpResponse second = sendFine(other, "{}").get(20, TimeUnit.SECONDS);

        assertEquals(409, second.status());
        assertEquals("1", second.header("retry-after"));
        plain.echo(plain.starts.get(0));
        assertEquals(200, first.get(20, TimeUnit.SECONDS).status());
        assertEquals(1, plain.starts.size());
    }

    @Test
    void lostAnswersOfThePlatformRunTheCallOnce() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        fixture.platform.loseAnswers(1);

        BufferedHttpResponse answer = sendFine(entry, "{}").get(20, TimeUnit.SECONDS);

        assertEquals(200, answer.status());
        assertEquals(1, plain.starts.size());
    }

    @Test
    void withoutThePlatformTheCallIsNotRun() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        fixture.platform.setDown(true);

        BufferedHttpResponse answer = sendFine(entry, "{}").get(20, TimeUnit.SECONDS);

        assertEquals(503, answer.status());
        assertTrue(answer.text().contains("\"outcome\":\"not_run\""));
        assertTrue(answer.header("retry-after") != null);
        assertEquals(0, plain.starts.size());
    }

    @Test
    void aCallThatMayHaveRunIsNeverRunAgain() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        plain.onStart(
                (self, start) ->
                        self.sendFinish(start, 0, RunOutcome.UNKNOWN, FailureKind.TARGET_DIED));
        assertEquals(502, sendFine(entry, "{}").get(20, TimeUnit.SECONDS).status());
        EntryProcess other = fixture.startEntry("e2");

        await().until(() -> sendFine(other, "{}").get().text().contains("outcome_unknown"));

        assertEquals(1, plain.starts.size());
    }

    @Test
    void aCallThatCertainlyDidNotRunMayBeSentAgain() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        plain.onStart(
                (self, start) ->
                        self.sendFinish(
                                start, 0, RunOutcome.NOT_RUN, FailureKind.DEADLINE_EXCEEDED));
        assertEquals(504, sendFine(entry, "{}").get(20, TimeUnit.SECONDS).status());
        plain.onStart(FakeCompanion::echo);

        assertEquals(200, sendFine(entry, "{}").get(20, TimeUnit.SECONDS).status());
    }

    private CompletableFuture<BufferedHttpResponse> sendFine(EntryProcess entry, String body)
            throws Exception {
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        headers.put("idempotency-key", "notice-7");
        return fixture.client.call(
                fixture.request(entry, "POST", "/services/plain/fines", headers, body));
    }
}
