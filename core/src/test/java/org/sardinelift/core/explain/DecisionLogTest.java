package org.sardinelift.core.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    private static final int CAPACITY = 10;

    private final DecisionLog log = DecisionLog.of(CAPACITY);
    private long nowMs = 1_000;
    private final DecisionRecorder recorder = DecisionRecorder.of(log, () -> nowMs);

    @Test
    void decisionsAboutCallsDisplaceOnlyThoseAboutCalls() {
        recorder.record(DecisionAction.JOB_CLAIMED, "job-1", "", Map.of());
        IntStream.range(0, 3 * CAPACITY).forEach(this::admit);

        assertEquals(CAPACITY + 1, log.find(Set.of(), 1_000).size());
        assertEquals(1, log.find(Set.of("job-1"), 1_000).size());
        assertEquals(1, log.find(Set.of("request-29"), 1_000).size());
        assertEquals(0, log.find(Set.of("request-19"), 1_000).size());
    }

    @Test
    void findReturnsDecisionsBySubjectAndFigureInOrderOfTime() {
        admit(1);
        nowMs++;
        recorder.record(DecisionAction.CONFIGURED, "patrol", "its rate changed", Map.of());
        nowMs++;
        admit(2);

        List<DecisionRecord> found = log.find(Set.of("patrol"), 1_000);
        assertEquals(
                List.of("request-1", "patrol", "request-2"),
                found.stream().map(DecisionRecord::subject).toList());
        assertEquals(found.subList(1, 3), log.find(Set.of("patrol"), 2));
    }

    @Test
    void recordsContainNoKey() {
        String key = "sl_k1_secretone";
        recorder.record(
                DecisionAction.REFUSED,
                "request-1",
                "there is no route /v1/" + key + "/x, " + key,
                Map.of("team", "isl_and", "path", "/a?key=" + key + "&b"));

        String text = log.find(Set.of(), 1).toString();
        assertFalse(text.contains("secretone"), text);
        assertTrue(text.contains("there is no route /v1/sl_***"), text);
        assertTrue(text.contains("isl_and"), text);
    }

    private void admit(int number) {
        recorder.record(DecisionAction.ADMITTED, "request-" + number, "", Map.of("team", "patrol"));
    }
}
