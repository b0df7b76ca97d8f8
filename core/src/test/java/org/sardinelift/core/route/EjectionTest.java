package org.sardinelift.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** A failing target must get no calls but single probes, after increasingly long pauses. */
class EjectionTest {
    private static final long FIRST = 100;
    private static final long LONGEST = 1_600;

    @Property(seed = "31")
    void aTargetThatKeepsFailingIsProbedByOneCallAfterGrowingPauses(@ForAll Random random) {
        Ejection ejection = Ejection.of(3, FIRST, LONGEST);
        long now = 0;
        for (int failure = 0; failure < 3; failure++) {
            assertEquals(Ejection.Admission.IN, ejection.admission(now));
            ejection.onFailure(now);
        }
        long pause = FIRST;
        for (int round = 0; round < 8; round++) {
            long early = now + pause - 1 - random.nextInt((int) pause - 1);
            assertEquals(Ejection.Admission.OUT, ejection.admission(early));
            now += pause;
            assertTrue(ejection.tryStartProbe(now));
            assertFalse(ejection.tryStartProbe(now));
            assertEquals(Ejection.Admission.OUT, ejection.admission(now));
            ejection.onFailure(now);
            pause = Math.min(LONGEST, pause * 2);
        }
        now += pause;
        assertTrue(ejection.tryStartProbe(now));
        ejection.onSuccess();
        assertEquals(Ejection.Admission.IN, ejection.admission(now));
    }

    @Example
    void failuresOfCallsSentBeforeTheEjectionDoNotLengthenThePause() {
        Ejection ejection = Ejection.of(1, FIRST, LONGEST);
        ejection.onFailure(0);
        ejection.onFailure(1);
        ejection.onFailure(2);
        assertEquals(Ejection.Admission.PROBE, ejection.admission(FIRST));
    }

    @Example
    void anInconclusiveProbeIsFollowedByAnother() {
        Ejection ejection = Ejection.of(1, FIRST, LONGEST);
        ejection.onFailure(0);
        assertTrue(ejection.tryStartProbe(FIRST));
        ejection.onProbeInconclusive();
        assertTrue(ejection.tryStartProbe(FIRST));
    }
}
