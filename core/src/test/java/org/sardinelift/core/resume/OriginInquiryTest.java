package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.OriginInquiry.Outcome;

class OriginInquiryTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("llm", "v1");

    private final OriginInquiry inquiry = OriginInquiry.of(List.of("a", "b"));

    @Test
    void theFirstKeeperThatKnowsDecides() {
        assertEquals(Optional.empty(), inquiry.onAnswer("a", Optional.empty()));
        assertEquals(Set.of("b"), inquiry.unanswered());
        assertEquals(
                Optional.of(new Outcome.Known(V1, "b")), inquiry.onAnswer("b", Optional.of(V1)));
        assertEquals(Optional.empty(), inquiry.onTimeout());
    }

    @Test
    void itEndsOnceAllHaveAnswered() {
        inquiry.onAnswer("a", Optional.empty());
        inquiry.onAnswer("a", Optional.empty());

        assertEquals(Optional.of(new Outcome.Unknown(0)), inquiry.onAnswer("b", Optional.empty()));
    }

    @Test
    void keepersThatDoNotAnswerAreCounted() {
        inquiry.onAnswer("a", Optional.empty());

        assertEquals(Optional.of(new Outcome.Unknown(1)), inquiry.onTimeout());
        assertEquals(Optional.empty(), inquiry.onAnswer("b", Optional.of(V1)));
    }
}
