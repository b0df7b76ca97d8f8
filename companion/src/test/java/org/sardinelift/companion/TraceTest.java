package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinelift.protocol.generated.Lane;

class TraceTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
    private static final String PARENT = "00-" + TRACE + "-b7ad6b7169203331-01";

    @TempDir private Path folder;

    @Test
    void everyHopHasASpanInTheCallersTrace() throws Exception {
        Path file = folder.resolve("spans.jsonl");
        try (CompanionRig rig =
                CompanionRig.start("\"traces\": {\"file\": \"" + file + "\"},", "")) {
            rig.online.start(FakeEntry.call("r1", Lane.ONLINE).setTraceparent(PARENT));
            await().until(() -> rig.target.hasReceived("r1"));
            String forwarded = rig.target.call("r1").header("traceparent");
            assertTrue(forwarded.startsWith("00-" + TRACE + "-"), forwarded);
            rig.target.startResponse("r1");
            rig.target.endResponse("r1");
            await().until(() -> rig.online.finishOf("r1").isPresent());
            rig.control.frames.clear();
            await().until(
                            () ->
                                    rig.control
                                            .lastReport()
                                            .filter(r -> r.getOnlineRunning() == 0)
                                            .isPresent());
        }
        List<String> spans = Files.readAllLines(file);
        for (String hop : List.of("companion.call", "companion.queue", "companion.target")) {
            assertEquals(
                    1,
                    spans.stream()
                            .filter(span -> span.contains(hop) && span.contains(TRACE))
                            .count(),
                    spans.toString());
        }
    }
}
