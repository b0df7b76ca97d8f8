package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.RunOutcome;
import org.sardinelift.protocol.generated.Start;

/**
 * Guards against a crashing request that kills more than two targets, or fails innocent requests,
 * when copies of it arrive at two entries at once, before either has evidence of a death.
 */
class CrashingRequestTest {
    /** Restart time of a target: longer than calls in flight need to arrive at it. */
    private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int WARM_UP_CALLS = 50;

    private final AtomicInteger deaths = new AtomicInteger();
    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.create();
        for (String name : List.of("c1", "c2", "c3", "c4")) {
            Target target = new Target();
            fixture.startCompanion(name, "engine", "m1").onStart(target::run);
        }
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    @Tag("known-red")
    void aRequestSentThroughTwoEntriesAtOnceKillsAtMostTwoTargets() throws Exception {
        EntryProcess first = fixture.startEntry("e1");
        EntryProcess second = fixture.startEntry("e2");
        for (EntryProcess entry : List.of(first, second)) {
            await().until(() -> fixture.status(entry).contains("\"peers\":1"));
            for (int call = 0; call < WARM_UP_CALLS; call++) {
                chat(entry, "warm " + call).get(30, TimeUnit.SECONDS);
            }
        }
        List<CompletableFuture<BufferedHttpResponse>> crashingAnswers = new ArrayList<>();
        List<CompletableFuture<BufferedHttpResponse>> innocentAnswers = new ArrayList<>();
        for (int copy = 0; copy < 10; copy++) {
            for (EntryProcess entry : List.of(first, second)) {
                crashingAnswers.add(chat(entry, "poison"));
                innocentAnswers.add(chat(entry, "tag " + copy + entry.hashCode()));
            }
        }

        for (CompletableFuture<BufferedHttpResponse> answer : innocentAnswers) {
            assertEquals(200, answer.get(30, TimeUnit.SECONDS).status(), answer.get().text());
        }
        for (CompletableFuture<BufferedHttpResponse> answer : crashingAnswers) {
            String text = answer.get(30, TimeUnit.SECONDS).text();
            assertTrue(
                    text.contains("crashes_targets") || text.contains("\"outcome\":\"not_run\""),
                    text);
        }
        assertEquals(422, chat(first, "poison").get(30, TimeUnit.SECONDS).status());
        assertEquals(422, chat(second, "poison").get(30, TimeUnit.SECONDS).status());
        assertTrue(deaths.get() <= 2, deaths.get() + " targets died");
    }

    private CompletableFuture<BufferedHttpResponse> chat(EntryProcess entry, String text)
            throws Exception {
        String body = "{\"model\":\"m1\",\"messages\":[{\"content\":\"" + text + "\"}]}";
        return fixture.client.call(
                fixture.request(
                        entry, "POST", "/v1/chat/completions", EntryFixture.authorized(), body));
    }

    /** A target that a certain request kills with all calls in flight, and that restarts later. */
    private final class Target {
        private final List<Start> inFlight = new ArrayList<>();
        private long diedNanos = System.nanoTime() - RESTART_NANOS;

        synchronized void run(FakeCompanion self, Start start) {
            if (System.nanoTime() - diedNanos < RESTART_NANOS) {
                self.sendFinish(start, 0, RunOutcome.NOT_RUN, FailureKind.TARGET_UNREACHABLE);
                return;
            }
            inFlight.add(start);
            if (new String(start.getBody(), StandardCharsets.UTF_8).contains("poison")) {
                String incarnation = "life" + deaths.incrementAndGet();
                diedNanos = System.nanoTime();
                inFlight.forEach(lostStart -> self.failByTargetDeath(lostStart, incarnation));
                inFlight.clear();
                self.sendReport(false, false);
                fixture.group.schedule(
                        () -> self.sendReport(false, true), RESTART_NANOS, TimeUnit.NANOSECONDS);
            } else {
                fixture.group.schedule(() -> end(self, start), 20, TimeUnit.MILLISECONDS);
            }
        }

        private synchronized void end(FakeCompanion self, Start start) {
            if (inFlight.remove(start)) {
                self.echo(start);
            }
        }
    }
}
