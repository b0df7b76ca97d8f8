package org.sardinelift.companion.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TargetHealthTest {
    private int incarnations;
    private final TargetHealth health = TargetHealth.create(3, () -> "life" + ++incarnations);

    @Test
    void isDownAfterConsecutiveFailedProbesAndUpAfterOneAnswer() {
        assertFalse(health.onProbe(false, 0));
        assertFalse(health.onProbe(false, 0));
        assertTrue(health.isUp());
        assertTrue(health.onProbe(false, 0));
        assertFalse(health.isUp());
        assertTrue(health.onProbe(true, 0));
        assertTrue(health.isUp());
        assertEquals("life2", health.incarnation());
    }

    @Test
    void isDownAfterOneFailedProbeIfAConnectionFailed() {
        health.onConnectionFailed();
        assertTrue(health.onProbe(false, 0));
        assertFalse(health.isUp());
    }

    @Test
    void restartBetweenTwoProbesChangesTheIncarnation() {
        health.onConnectionFailed();
        assertTrue(health.onProbe(true, 0));
        assertEquals("life2", health.incarnation());
    }

    @Test
    void oneFailedConnectionAmongOpenOnesIsNoRestart() {
        health.onConnectionFailed();
        assertFalse(health.onProbe(true, 1));
        assertEquals("life1", health.incarnation());
    }
}
