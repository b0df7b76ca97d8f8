package org.sardinelift.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * All processes of an availability zone are killed at once. Guards against streams of the other
 * zone that break, and against a job of the lost entry that is not completed.
 */
class ZoneLossTest {
    private static final int ITEMS = 200;
    private static final int STREAMS = 20;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(15);
    private static final List<String> LOST_PROCESSES = List.of("entry-1", "c-engine-1", "engine-1");

    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = Fleet.start();
        fleet.useZone("hinchinbrook");
        fleet.startTarget("engine-2", "registry", true, "--token-us", "20000");
        fleet.startEntry("entry-2");
        fleet.useZone("moreton");
        fleet.startTarget("engine-1", "registry", true, "--token-us", "20000");
        fleet.startEntry("entry-1");
        fleet.awaitServing();
        // Until then streams of this zone would run in the other one.
        Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .until(() -> fleet.isUsable("entry-2", "c-engine-2"));
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    @Tag("known-red")
    void theOtherZoneServesOnAndCompletesTheLostEntrysJob() throws Exception {
        String body = fleet.submit("entry-1", "before-the-tide", fleet.jobLines(ITEMS, 4)).body();
        String job = fleet.parseJson(body).path("id").asText();
        Streams streams = new Streams();
        for (int i = 0; i < STREAMS; i++) {
            streams.open(fleet, fleet.chatRequest("entry-2", Fleet.KEY, "tag " + i, 100, true));
        }
        Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> streams.openCount() == STREAMS);

        LOST_PROCESSES.forEach(name -> fleet.processes.get(name).kill());

        assertEquals(200, fleet.chat("entry-2", Fleet.KEY, "at once", 1).statusCode());
        assertEquals(200, fleet.chat("entry-2", Fleet.OTHER_KEY, "at once", 1).statusCode());
        for (String answer : streams.awaitBodies()) {
            assertTrue(Streams.isComplete(answer), answer);
            assertEquals(100, Streams.tokens(fleet, answer).stream().distinct().count(), answer);
        }
        fleet.awaitJob("entry-2", job, "completed");
        List<JsonNode> results = fleet.results("entry-2", job);
        assertEquals(ITEMS, results.size());
        assertEquals(
                ITEMS,
                results.stream().map(it -> it.path("custom_id").asText()).distinct().count());
    }
}
