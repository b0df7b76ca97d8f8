package org.sardinelift.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a target's statement of its load means, whatever it contains. */
class LoadHeaderTest {
    @ParameterizedTest
    @CsvSource({"'3,0,8', 3", "'3, 2 ,8', 5", "'3,2,8,100', 5", "'3,2,8,250,7,x', 5"})
    void fieldsAfterTheKnownOnesDontHideTheCalls(String text, int calls) {
        assertEquals(OptionalInt.of(calls), LoadHeader.parse(text).calls());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "3,0", "three,0,8", "-1,0,8", "3,-2,8", "1e3,0,8", "2147483647,9,8"})
    void anUnreadableLoadIsNotCounted(String text) {
        assertEquals(OptionalInt.empty(), LoadHeader.parse(text).calls());
    }

    @Test
    void anAbsentHeaderStatesNothing() {
        assertEquals(LoadHeader.NONE, LoadHeader.parse(null));
    }

    @ParameterizedTest
    @CsvSource({"'3,0,8,100', 100", "'3,0,8, 250', 250", "'3,0,8,40', 40"})
    void theFourthFieldStatesTheWorkTime(String text, int percent) {
        assertEquals(OptionalInt.of(percent), LoadHeader.parse(text).workTimePercent());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "3,0,8",
                "3,0,8,",
                "3,0,8,0",
                "3,0,8,-100",
                "3,0,8,1000000000",
                "3,0,8,slow",
                "3,0,8,9",
                "3,0,8,1001"
            })
    void anImplausibleWorkTimeIsAsGoodAsNone(String text) {
        LoadHeader header = LoadHeader.parse(text);
        assertEquals(OptionalInt.empty(), header.workTimePercent());
        assertEquals(OptionalInt.of(3), header.calls());
    }
}
