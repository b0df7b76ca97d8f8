package org.sardinelift.core.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReportPacerTest {
    private static final long MILLI = 1_000_000;

    private final ReportPacer pace =
            ReportPacer.of(Duration.ofMillis(200), Duration.ofMillis(1_000), 0);

    @Test
    void aChangeAfterQuietIsToldAtOnce() {
        pace.onReportSent(0);
        pace.onChange();
        assertEquals(0, pace.nanosUntilDue(300 * MILLI));
    }

    @Test
    void changesThatFollowAReportWaitForTheRestOfTheInterval() {
        pace.onReportSent(0);
        pace.onChange();
        assertEquals(150 * MILLI, pace.nanosUntilDue(50 * MILLI));
        pace.onReportSent(200 * MILLI);
        assertEquals(1_000 * MILLI, pace.nanosUntilDue(200 * MILLI));
    }

    @Test
    void anUnchangedLoadIsToldOnceARefresh() {
        pace.onReportSent(0);
        assertEquals(700 * MILLI, pace.nanosUntilDue(300 * MILLI));
        assertEquals(0, pace.nanosUntilDue(1_000 * MILLI));
    }

    @Test
    void theFirstChangeIsToldAtOnce() {
        pace.onChange();
        assertEquals(0, pace.nanosUntilDue(0));
    }
}
