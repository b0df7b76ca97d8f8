package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against an entry that reports ready when it can't serve, or refuses calls before load
 * balancers have seen its drain.
 */
class ReadinessTest {
    private boolean isConfigured;
    private boolean hasLimits;
    private boolean isIsolated;
    private final Readiness readiness =
            Readiness.of(() -> isConfigured, () -> hasLimits, () -> isIsolated);

    @Test
    void theReasonNamesWhatIsMissing() {
        assertEquals("this instance has no configuration yet", reason());
        isConfigured = true;
        assertEquals(
                "this instance holds no share of the limits and reaches no entry to borrow from",
                reason());
        hasLimits = true;
        assertTrue(readiness.notReadyReason().isEmpty());
        isIsolated = true;
        assertEquals("this instance can't tell whether keys still hold", reason());
    }

    @Test
    void aDrainIsAnnouncedBeforeNewWorkIsRefused() {
        isConfigured = true;
        hasLimits = true;
        readiness.announceDrain();
        assertEquals("draining", reason());
        assertTrue(readiness.refusal().isEmpty());
        readiness.stopAcceptingWork();
        assertEquals("draining", readiness.refusal().orElseThrow().kind().label());
    }

    private String reason() {
        return readiness.notReadyReason().orElseThrow();
    }
}
