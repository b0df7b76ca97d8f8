package org.sardinelift.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against metrics that are missing or that stay at their first values. */
class EntryMetricsTest {
    @Test
    void metricsShowTargetsRevisionPlatformCallsAndJobs() throws Exception {
        try (EntryFixture fixture = EntryFixture.create()) {
            fixture.startCompanion("c1", "engine", "m1");
            EntryProcess entry = fixture.startEntry("e1");
            Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
            headers.put("job-key", "evening");
            String line =
                    "{\"custom_id\":\"1\",\"method\":\"POST\",\"url\":\"/v1/completions\","
                            + "\"body\":{\"model\":\"m1\",\"prompt\":\"a\"}}";
            fixture.send(entry, "POST", "/v1/batches", headers, line);

            await().until(() -> metrics(fixture, entry).contains("targets_usable 1.0"));
            String text = metrics(fixture, entry);
            List.of(
                            "sardinelift_jobs_total{decision=\"job accepted\"}",
                            "sardinelift_platform_calls_total{call=\"write\",kind=\"job\","
                                    + "result=\"Written\"}",
                            "sardinelift_calls_under_way ",
                            "sardinelift_jobs_held ",
                            "sardinelift_job_items_open ")
                    .forEach(metric -> assertTrue(text.contains(metric), metric));
            assertTrue(!text.contains("sardinelift_config_revision 0.0"), text);
        }
    }

    private static String metrics(EntryFixture fixture, EntryProcess entry) throws Exception {
        return fixture.getFromOperatorPort(entry, "/metrics");
    }
}
