package org.sardinelift.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinelift.core.quota.StatedRate;

/** What a target's statement of its rate limit means, whatever it contains. */
class RateHeaderTest {
    @ParameterizedTest
    @CsvSource({"2.9, 2.9", "0, 0", "0.20, 0.2", "' 12 ', 12", "999999999, 999999999"})
    void aDecimalNumberIsALimit(String text, double perSecond) {
        assertEquals(new StatedRate.Limited(perSecond), RateHeader.parse(List.of(text)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "-1",
                "NaN",
                "Infinity",
                "1e3",
                "1,5",
                "0x10",
                ".5",
                "3.",
                "three",
                "1000000000000"
            })
    void anythingElseIsUnreadable(String text) {
        assertEquals(new StatedRate.Unreadable(), RateHeader.parse(List.of(text)));
    }

    @Test
    void theLowestOfSeveralHolds() {
        assertEquals(new StatedRate.Limited(2), RateHeader.parse(List.of("3", "unreadable", "2")));
    }

    @Test
    void noHeaderIsNoLimit() {
        assertEquals(new StatedRate.Unlimited(), RateHeader.parse(List.of()));
    }
}
