package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.KeyDigest;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.http.BufferedHttpResponse;

/** Guards against submissions of jobs that are not counted against their team's rate and burst. */
class SubmissionLimitTest {
    private static final String SLOW_KEY = "sl_slow_secret";
    private static final int SECONDS_TO_BURST = 40;
    private static final int BURST = 2;
    private static final String LINE =
            "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
                    + "\"body\":{\"model\":\"m1\",\"messages\":[]}}";

    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = EntryFixture.create();
        fixture.write(
                "team", "slow", "{\"template\":\"standard\",\"ratePerSecond\":0.05,\"burst\":2}");
        fixture.put(new KeyEntry("slow", "slow", KeyDigest.of("pepper").digest(SLOW_KEY), false));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void aSubmissionIsOneRequestAndIsRefusedOverTheRate() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        useUpBurst(entry, "night-1");

        BufferedHttpResponse refused = submit(entry, "night-2");

        assertEquals(429, refused.status());
        assertTrue(refused.text().contains("\"kind\":\"rate_limited\""), refused.text());
        assertTrue(refused.text().contains("\"outcome\":\"not_run\""), refused.text());
        int seconds = Integer.parseInt(refused.header("retry-after"));
        assertTrue(seconds >= 1 && seconds <= SECONDS_TO_BURST, "" + seconds);
        BufferedHttpResponse jobs = fixture.send(entry, "GET", "/v1/batches", key(), "");
        assertTrue(jobs.text().contains("night-1") && !jobs.text().contains("night-2"));
    }

    @Test
    void theSameJobSentAgainCountsToo() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        useUpBurst(entry, "night-1");

        assertEquals(429, submit(entry, "night-1").status());
    }

    @Test
    void aMalformedSubmissionIsRefusedBeforeItIsCounted() throws Exception {
        EntryProcess entry = fixture.startEntry("e1");
        useUpBurst(entry, "night-1");

        assertEquals(400, fixture.send(entry, "POST", "/v1/batches", key(), LINE).status());
    }

    /** Uses up the team's burst, which may be available at the start or only after a while. */
    private void useUpBurst(EntryProcess entry, String jobKey) throws Exception {
        await().atMost(40, TimeUnit.SECONDS).until(() -> submit(entry, jobKey).status() == 201);
        for (int call = 1; call < BURST; call++) {
            submit(entry, jobKey);
        }
    }

    private BufferedHttpResponse submit(EntryProcess entry, String jobKey) throws Exception {
        Map<String, String> headers =
                Map.of("authorization", "Bearer " + SLOW_KEY, "job-key", jobKey);
        return fixture.client
                .call(fixture.request(entry, "POST", "/v1/batches", headers, LINE))
                .get(20, TimeUnit.SECONDS);
    }

    private static Map<String, String> key() {
        return Map.of("authorization", "Bearer " + SLOW_KEY);
    }
}
