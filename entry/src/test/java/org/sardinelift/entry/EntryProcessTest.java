package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.protocol.generated.Start;

/** Guards against calls that are lost, run for the wrong team or run without a valid key. */
class EntryProcessTest {
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
    void aCallGoesToACompanionAndItsAnswerComesBack() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");

        BufferedHttpResponse answer = fixture.chat(entry, CHAT);

        assertEquals(200, answer.status());
        assertEquals(CHAT, answer.text());
        Start start = companion.starts.get(0);
        assertEquals("blue", start.getTeam());
        assertFalse(start.toString().contains(EntryFixture.KEY));
    }

    @Test
    void aMalformedTraceContextIsIgnored() throws Exception {
        fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        headers.put("traceparent", "00-" + "0".repeat(32) + "-" + "0".repeat(16) + "-zz");

        assertEquals(
                200, fixture.send(entry, "POST", "/v1/chat/completions", headers, CHAT).status());
    }

    @Test
    void aRequestRunsOnlyForTheTeamOfItsKey() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = fixture.startEntry("e1");

        BufferedHttpResponse none =
                fixture.send(entry, "POST", "/v1/chat/completions", Map.of(), CHAT);
        BufferedHttpResponse wrong =
                fixture.send(
                        entry,
                        "POST",
                        "/v1/chat/completions",
                        Map.of("authorization", "Bearer sl_k1_guess"),
                        CHAT);

        assertEquals(401, none.status());
        assertEquals(401, wrong.status());
        assertTrue(none.text().contains("\"outcome\":\"not_run\""));
        assertTrue(companion.starts.isEmpty());
    }
}
