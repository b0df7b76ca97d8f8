package org.sardinelift.companion.outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.RequestState;

class OutcomeTableTest {
    private static final OutcomeBounds LIMITS =
            new OutcomeBounds(5, 100, Duration.ofMillis(1_000), 1_000, 3);

    @Property(seed = "31007", tries = 500)
    void notStartedIsReportedOnlyForAttemptsThatNeverStart(@ForAll long seed) {
        Random random = new Random(seed);
        OutcomeTable table = OutcomeTable.create(LIMITS);
        Set<AttemptId> started = new HashSet<>();
        Set<AttemptId> reportedNotStarted = new HashSet<>();
        Set<AttemptId> acknowledged = new HashSet<>();
        for (int step = 0; step < 200; step++) {
            AttemptId id = new AttemptId("r" + random.nextInt(40), 1);
            String entry = "e" + id.hashCode() % 4;
            long now = step * 20L;
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    if (!started.contains(id) && table.admit(id, entry) == Admission.NEW) {
                        assertTrue(!reportedNotStarted.contains(id), id + " is started after all");
                        started.add(id);
                    }
                }
                case 2 -> table.recordEnd(id, random.nextInt(40), now);
                case 3 -> {
                    if (random.nextInt(3) == 0 && table.query(id, entry) == RequestState.FINISHED) {
                        table.acknowledge(id);
                        acknowledged.add(id);
                    }
                }
                default -> {
                    if (!acknowledged.contains(id)
                            && table.query(id, entry) == RequestState.NOT_STARTED) {
                        assertTrue(!started.contains(id), id + " was started");
                        reportedNotStarted.add(id);
                    }
                }
            }
            assertTrue(table.unacknowledgedCount() <= LIMITS.maxRecords());
        }
    }

    @Test
    void onlyEntriesWithLostOutcomesGetUnknown() {
        OutcomeTable table = OutcomeTable.create(LIMITS);
        AttemptId id = new AttemptId("r1", 1);
        table.admit(id, "e1");
        table.recordEnd(id, 1, 0);
        table.expire(LIMITS.retention().toMillis());
        assertEquals(RequestState.UNKNOWN, table.query(id, "e1"));
        assertEquals(RequestState.NOT_STARTED, table.query(new AttemptId("r2", 1), "e2"));
        assertNotEquals(RequestState.NOT_STARTED, table.query(new AttemptId("r3", 1), "e1"));
    }
}
