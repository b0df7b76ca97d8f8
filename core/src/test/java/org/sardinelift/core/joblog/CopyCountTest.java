package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.joblog.CopyCount.Outcome;

class CopyCountTest {
    @Test
    void enoughCopiesKeepTheJobWhateverOtherDisksAnswer() {
        CopyCount count = CopyCount.of(2, 3);
        count.onAnswer(true);
        assertEquals(Optional.empty(), count.outcome());

        count.onNoAnswer();
        assertEquals(Optional.empty(), count.outcome());
        count.onAnswer(true);

        assertEquals(Optional.of(Outcome.KEPT), count.outcome());
    }

    @Test
    void outcomeAfterARefusalWaitsForTheOtherDisk() {
        CopyCount count = CopyCount.of(2, 2);
        count.onAnswer(false);

        assertEquals(Optional.empty(), count.outcome());
        count.onAnswer(true);
        assertEquals(Optional.of(Outcome.UNCLEAR), count.outcome(), "one disk holds it");
    }

    @Test
    void lostAnswerMakesTheOutcomeUnclear() {
        CopyCount count = CopyCount.of(2, 2);
        count.onAnswer(false);
        count.onNoAnswer();

        assertEquals(Optional.of(Outcome.UNCLEAR), count.outcome());
    }

    @Test
    void refusalsByAllDisksMeanNotKept() {
        CopyCount count = CopyCount.of(2, 2);
        count.onAnswer(false);
        count.onAnswer(false);

        assertEquals(Optional.of(Outcome.NOT_KEPT), count.outcome());
    }

    @Test
    void fewerDisksThanRequiredCannotSuffice() {
        assertFalse(CopyCount.of(3, 2).canSuffice());
        assertTrue(CopyCount.of(3, 3).canSuffice());
    }
}
