package org.sardinelift.core.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A relay must pass each sender's newest report on once, in messages of bounded size. */
class RelayBufferTest {
    private final RelayBuffer buffer = RelayBuffer.create(10);

    @Test
    void theNewestReportOfASenderIsPassedOn() {
        buffer.put("a", new byte[] {1});
        buffer.put("a", new byte[] {2});

        List<List<byte[]>> messages = buffer.drain();

        assertEquals(1, messages.size());
        assertEquals(1, messages.get(0).size());
        assertArrayEquals(new byte[] {2}, messages.get(0).get(0));
    }

    @Test
    void noMessageIsLongerThanTheBound() {
        buffer.put("a", new byte[4]);
        buffer.put("b", new byte[6]);
        buffer.put("c", new byte[1]);

        assertEquals(List.of(2, 1), buffer.drain().stream().map(List::size).toList());
    }

    @Test
    void aReportLongerThanTheBoundHasItsOwnMessage() {
        buffer.put("a", new byte[4]);
        buffer.put("b", new byte[40]);
        buffer.put("c", new byte[4]);

        assertEquals(List.of(1, 1, 1), buffer.drain().stream().map(List::size).toList());
    }

    @Test
    void nothingIsPassedOnTwice() {
        buffer.put("a", new byte[1]);
        buffer.drain();

        assertTrue(buffer.isEmpty());
        assertEquals(List.of(), buffer.drain());
    }
}
