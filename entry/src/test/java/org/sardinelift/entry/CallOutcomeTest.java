package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.QueryAnswer;
import org.sardinelift.protocol.generated.RequestState;
import org.sardinelift.protocol.generated.RunOutcome;
import org.sardinelift.protocol.generated.Start;

/**
 * Guards against calls that run twice, lose or repeat parts of their answer, or are reported as not
 * run although they may have run. This happens when connections are lost or targets die, leave or
 * fail.
 */
class CallOutcomeTest {
    private static final String CHAT =
            "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"tag 7\"}]}";

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
    void aStreamGoesOnFromWhereItWasAfterItsConnectionBroke() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart(
                (self, start) -> {
                    self.sendHead(start, 200, "text/event-stream");
                    self.sendData(start, 0, "data: a\n\n");
                });
        companion.onQuery(
                (self, query) -> {
                    Start start = self.starts.get(0);
                    answer(self, start, RequestState.RUNNING);
                    self.sendData(start, 0, "data: a\n\ndata: b\n\n");
                    self.sendFinish(start, 18);
                });
        CompletableFuture<BufferedHttpResponse> answer = chat(entry);
        await().until(() -> companion.starts.size() == 1);
        companion.disconnectAll("first");

        BufferedHttpResponse completeAnswer = answer.get(20, TimeUnit.SECONDS);
        assertEquals("data: a\n\ndata: b\n\n", completeAnswer.text());
        assertEquals(1, companion.starts.size());
    }

    @Test
    void aNonIdempotentCallThatMayHaveRunIsNotRetried() throws Exception {
        FakeCompanion plain = fixture.startCompanion("c1", "plain");
        EntryProcess entry = fixture.startEntry("e1");
        plain.onStart((self, start) -> self.disconnectAll("second"));

        BufferedHttpResponse answer =
                fixture.send(
                        entry, "POST", "/services/plain/fines", EntryFixture.authorized(), "{}");

        assertEquals(502, answer.status());
        assertTrue(answer.text().contains("\"kind\":\"outcome_unknown\""), answer.text());
        assertTrue(answer.text().contains("\"outcome\":\"unknown\""));
        assertEquals(1, plain.starts.size());
    }

    @Test
    void aCallThatNeverStartedIsRetriedWhateverItsMethod() throws Exception {
        FakeCompanion plain = fixture.startCompanion("c1", "plain");
        FakeCompanion other = fixture.startCompanion("c2", "plain");
        EntryProcess entry = fixture.startEntry("e1");
        AtomicInteger starts = new AtomicInteger();
        for (FakeCompanion companion : new FakeCompanion[] {plain, other}) {
            companion.onStart(
                    (self, start) -> {
                        if (starts.incrementAndGet() == 1) {
                            self.disconnectAll("first");
                        } else {
                            self.echo(start);
                        }
                    });
            companion.onQuery(
                    (self, query) -> answer(self, self.starts.get(0), RequestState.NOT_STARTED));
        }

        BufferedHttpResponse answer =
                fixture.send(
                        entry, "POST", "/services/plain/fines", EntryFixture.authorized(), "{}");

        assertEquals(200, answer.status());
        assertEquals(2, starts.get());
    }

    @Test
    void aRetryThatFindsNoTargetIsNotReportedAsNotRun() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart(
                (self, start) -> {
                    self.sendReport(true);
                    self.sendFinish(start, 0, RunOutcome.UNKNOWN, FailureKind.TARGET_UNREACHABLE);
                });

        BufferedHttpResponse answer = fixture.chat(entry, CHAT);

        assertFalse(answer.text().contains("not_run"), answer.text());
        assertEquals(1, companion.starts.size());
    }

    @Test
    void aSecondAttemptThatWasNotRunDoesNotHideTheFirst() throws Exception {
        for (String name : new String[] {"c1", "c2"}) {
            fixture.startCompanion(name, "engine", "m1")
                    .onStart(
                            (self, start) ->
                                    self.sendFinish(
                                            start,
                                            0,
                                            start.getAttempt() == 1
                                                    ? RunOutcome.UNKNOWN
                                                    : RunOutcome.NOT_RUN,
                                            FailureKind.TARGET_UNREACHABLE));
        }
        EntryProcess entry = fixture.startEntry("e1");

        BufferedHttpResponse answer = fixture.chat(entry, CHAT);

        assertEquals(502, answer.status());
        assertTrue(answer.text().contains("\"outcome\":\"unknown\""), answer.text());
    }

    @Test
    void aLeavingTargetGetsNoNewWork() throws Exception {
        FakeCompanion first = fixture.startCompanion("c1", "engine", "m1");
        FakeCompanion second = fixture.startCompanion("c2", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        first.sendReport(true);
        await().until(() -> fixture.status(entry).contains("\"usable\":false"));

        for (int call = 0; call < 20; call++) {
            assertEquals(200, fixture.chat(entry, CHAT.replace("tag 7", "tag " + call)).status());
        }

        assertEquals(0, first.starts.size());
        assertEquals(20, second.starts.size());
    }

    @Test
    void aBrokenAnswerEndsWithAnErrorEvent() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart(
                (self, start) -> {
                    self.sendHead(start, 200, "text/event-stream");
                    self.sendData(start, 0, "data: a\n\n");
                    self.sendFinish(start, 9, RunOutcome.RUN, FailureKind.TARGET_DIED);
                });

        BufferedHttpResponse answer = fixture.chat(entry, CHAT);

        assertTrue(answer.text().startsWith("data: a\n\nevent: error\n"), answer.text());
        assertTrue(answer.text().contains("\"outcome\":\"run\""));
        assertEquals(1, companion.starts.size());
    }

    @Test
    void aDisconnectedCallerCancelsItsCall() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        companion.onStart((self, start) -> self.sendHead(start, 200, "text/event-stream"));
        Runnable cancel =
                fixture.client.send(
                        fixture.request(
                                entry,
                                "POST",
                                "/v1/chat/completions",
                                EntryFixture.authorized(),
                                CHAT),
                        new IgnoringAnswerListener());
        await().until(() -> companion.starts.size() == 1);

        cancel.run();

        await().until(() -> companion.cancels.size() == 1);
    }

    @Test
    void aRequestThatCrashesTargetsIsStoppedAfterTwoDeaths() throws Exception {
        AtomicInteger deaths = new AtomicInteger();
        for (String name : new String[] {"c1", "c2", "c3"}) {
            fixture.startCompanion(name, "engine", "m1")
                    .onStart((self, start) -> dieOrEcho(self, start, deaths));
        }
        EntryProcess entry = fixture.startEntry("e1");
        String poison = CHAT.replace("tag 7", "poison");

        for (int copy = 0; copy < 20; copy++) {
            BufferedHttpResponse crashingAnswer = fixture.chat(entry, poison);
            assertEquals(422, crashingAnswer.status(), crashingAnswer.text());
            BufferedHttpResponse innocentAnswer =
                    fixture.chat(entry, CHAT.replace("tag 7", "tag " + copy));
            assertEquals(200, innocentAnswer.status(), innocentAnswer.text());
        }

        assertEquals(2, deaths.get());
        EntryProcess other = fixture.startEntry("e2");
        await().until(() -> fixture.chat(other, poison).status() == 422);
        assertEquals(2, deaths.get());
    }

    private static void dieOrEcho(FakeCompanion self, Start start, AtomicInteger deaths) {
        if (new String(start.getBody()).contains("poison")) {
            int death = deaths.incrementAndGet();
            self.failByTargetDeath(start, "life" + death);
        } else {
            self.echo(start);
        }
    }

    private CompletableFuture<BufferedHttpResponse> chat(EntryProcess entry) throws Exception {
        return fixture.client.call(
                fixture.request(
                        entry, "POST", "/v1/chat/completions", EntryFixture.authorized(), CHAT));
    }

    private static void answer(FakeCompanion self, Start start, RequestState state) {
        self.send(
                start.getRequestId(),
                Frame.queryAnswer(
                        new QueryAnswer(start.getRequestId(), start.getAttempt(), state, 0)));
    }
}
