package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;

/**
 * Guards against a caller that acts for another team, by naming it in headers, queries or bodies,
 * or by using another team's idempotency key, job key or job.
 */
class TeamIsolationTest {
    private static final Pattern JOB_ID = Pattern.compile("\"id\"\\s*:\\s*\"(batch-[^\"]+)\"");
    private static final String ITEM =
            "{\"custom_id\":\"1\",\"method\":\"GET\",\"url\":\"/services/plain/x\"}";

    private EntryFixture fixture;
    private FakeCompanion plain;
    private EntryProcess entry;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.create();
        plain = fixture.startCompanion("c1", "plain");
        entry = fixture.startEntry("e1");
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void aCallerCannotNameAnotherTeam() throws Exception {
        Map<String, String> headers = headers(EntryFixture.OTHER_TEAMS_KEY);
        headers.put("x-team", "blue");
        headers.put("team", "blue");

        BufferedHttpResponse answer =
                fixture.send(
                        entry,
                        "POST",
                        "/services/plain/x?team=blue",
                        headers,
                        "{\"team\":\"blue\",\"user\":\"blue\"}");

        assertEquals(200, answer.status(), answer.text());
        assertEquals("red", plain.starts.get(0).getTeam());
    }

    @Test
    void anotherTeamsIdempotencyKeyIsItsOwn() throws Exception {
        BufferedHttpResponse blue = sendIdempotent(EntryFixture.KEY, "{\"of\":\"blue\"}");
        BufferedHttpResponse red = sendIdempotent(EntryFixture.OTHER_TEAMS_KEY, "{\"of\":\"red\"}");

        assertEquals("{\"of\":\"blue\"}", blue.text());
        assertEquals("{\"of\":\"red\"}", red.text());
        assertEquals(List.of("blue", "red"), plain.starts.stream().map(s -> s.getTeam()).toList());
    }

    @Test
    void aJobIsSeenAndCancelledByItsTeamOnly() throws Exception {
        plain.onStart((self, start) -> {});
        String job = submit(EntryFixture.KEY);
        String path = "/v1/batches/" + job;

        for (String method : List.of("GET", "POST")) {
            for (String route : List.of(path, path + "/results", path + "/cancel")) {
                BufferedHttpResponse answer =
                        fixture.send(
                                entry, method, route, headers(EntryFixture.OTHER_TEAMS_KEY), "");
                assertTrue(List.of(404, 405).contains(answer.status()), route + answer.text());
                assertFalse(answer.text().contains("custom_id"), answer.text());
            }
        }
        BufferedHttpResponse own = fixture.send(entry, "GET", path, headers(EntryFixture.KEY), "");
        assertEquals(200, own.status(), own.text());
        assertFalse(own.text().contains("\"status\":\"cancel"), own.text());
        assertTrue(plain.cancels.isEmpty());
    }

    @Test
    void theSameJobKeyOfTwoTeamsIsTwoJobs() throws Exception {
        assertFalse(submit(EntryFixture.KEY).equals(submit(EntryFixture.OTHER_TEAMS_KEY)));
    }

    private String submit(String key) throws Exception {
        Map<String, String> headers = headers(key);
        headers.put("Job-Key", "evening");
        BufferedHttpResponse answer = fixture.send(entry, "POST", "/v1/batches", headers, ITEM);
        Matcher id = JOB_ID.matcher(answer.text());
        assertTrue(id.find(), answer.text());
        return id.group(1);
    }

    private BufferedHttpResponse sendIdempotent(String key, String body) throws Exception {
        Map<String, String> headers = headers(key);
        headers.put("Idempotency-Key", "same-key");
        return fixture.send(entry, "POST", "/services/plain/fine", headers, body);
    }

    private static Map<String, String> headers(String key) {
        return new HashMap<>(EntryFixture.authorized(key));
    }
}
