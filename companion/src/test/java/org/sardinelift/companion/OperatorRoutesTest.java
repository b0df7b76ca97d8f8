package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

class OperatorRoutesTest {
    private CompanionRig rig;
    private HttpClient client;

    @BeforeEach
    void start() throws Exception {
        rig = CompanionRig.start();
        client = HttpClient.create(rig.group, Duration.ofSeconds(5), null);
    }

    @AfterEach
    void stop() {
        rig.close();
    }

    @Test
    void readinessFollowsTheTarget() throws Exception {
        assertEquals("{\"ok\":true}", send("GET", "/healthz").text());
        assertEquals("{\"ready\":true}", send("GET", "/readyz").text());
        rig.target.close();
        await().until(() -> send("GET", "/readyz").status() == 503);
        assertEquals(
                "{\"ready\":false,\"reason\":\"target t1 does not answer\"}",
                send("GET", "/readyz").text());
        assertEquals(200, send("GET", "/healthz").status());
    }

    @Test
    void metricsIncludeTheJvmAndTheTargetsLoad() throws Exception {
        await().until(() -> send("GET", "/metrics").text().contains("companion_slots 2.0"));
        String text = send("GET", "/metrics").text();
        assertTrue(text.contains("jvm_memory_used_bytes"), text);
        assertTrue(text.contains("sardinelift_companion_target_up 1.0"), text);
        assertTrue(text.contains("sardinelift_companion_running{lane=\"ONLINE\"} 0.0"), text);
    }

    @Test
    void drainIsRequestedByPostOnly() throws Exception {
        assertEquals(404, send("GET", "/drain").status());
        assertFalse(rig.companion.drainRequested().isDone());
        assertEquals(202, send("POST", "/drain").status());
        rig.companion.drainRequested().get(5, TimeUnit.SECONDS);
        assertEquals("{\"ready\":false,\"reason\":\"draining\"}", send("GET", "/readyz").text());
    }

    private BufferedHttpResponse send(String method, String path) throws Exception {
        String after = rig.companion.readyLine().split("\"operators\":\"127.0.0.1:")[1];
        int port = Integer.parseInt(after.substring(0, after.indexOf('"')));
        HttpCall call =
                HttpCall.of(
                        "127.0.0.1",
                        port,
                        method,
                        path,
                        Map.of(),
                        new byte[0],
                        Duration.ofSeconds(5));
        return client.call(call).get(5, TimeUnit.SECONDS);
    }
}
