package org.sardinelift.core.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against load changes that are reported late, and against too many reports of an unchanged
 * or often changing load.
 */
class ReportPacerTest {
    private static final long MILLI = 1_000_000;

    private final ReportPacer pacer =
            ReportPacer.of(Duration.ofMillis(200), Duration.ofMillis(1_000), 0);

    @Test
    void changeAfterIdleTimeIsReportedAtOnce() {
        pacer.onReportSent(0);
        pacer.onChange();
        assertEquals(0, pacer.nanosUntilDue(300 * MILLI));
    }

    @Test
    void changesAfterAReportWaitForTheRestOfTheInterval() {
        pacer.onReportSent(0);
        pacer.onChange();
        assertEquals(150 * MILLI, pacer.nanosUntilDue(50 * MILLI));
        pacer.onReportSent(200 * MILLI);
        assertEquals(1_000 * MILLI, pacer.nanosUntilDue(200 * MILLI));
    }

    @Test
    void unchangedLoadIsReportedOncePerRefresh() {
        pacer.onReportSent(0);
        assertEquals(700 * MILLI, pacer.nanosUntilDue(300 * MILLI));
        assertEquals(0, pacer.nanosUntilDue(1_000 * MILLI));
    }

    @Test
    void firstChangeIsReportedAtOnce() {
        pacer.onChange();
        assertEquals(0, pacer.nanosUntilDue(0));
    }
}
