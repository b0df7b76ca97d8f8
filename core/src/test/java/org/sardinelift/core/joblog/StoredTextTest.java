package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class StoredTextTest {
    @Test
    void charactersCountInTheirLongestForm() {
        assertEquals(3, StoredText.bytes("abc"));
        assertEquals(8, StoredText.bytes("\"\\"));
        assertEquals(7, StoredText.bytes("\n"));
        assertEquals(6, StoredText.bytes("\u6f22"));
        assertEquals(12, StoredText.bytes("\ud83d\ude00"));
    }

    @Property
    void partsAreBoundedAndJoinToTheText(
            @ForAll String text, @ForAll @IntRange(min = 12, max = 60) int maxBytes) {
        StringBuilder joined = new StringBuilder();
        int begin = 0;
        while (begin < text.length()) {
            int end = StoredText.partEnd(text, begin, maxBytes);
            String part = text.substring(begin, end);
            assertTrue(StoredText.bytes(part) <= maxBytes);
            assertFalse(
                    end < text.length()
                            && Character.isSurrogatePair(text.charAt(end - 1), text.charAt(end)));
            joined.append(part);
            begin = end;
        }
        assertEquals(text, joined.toString());
    }
}
