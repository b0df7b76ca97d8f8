package org.sardinelift.core.stream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Events must be passed on complete, in order and unchanged, however the stream is split. */
class EventStreamParserTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void buffersAnIncompleteEvent() {
        EventStreamParser parser = EventStreamParser.fromStart();

        assertEquals(List.of(), parser.parse(bytes("id: 1\ndata: a")));
        assertTrue(parser.hasPartialEvent());
        List<StreamEvent> events = parser.parse(bytes("b\n\nid: 2\n"));

        assertEquals(1, events.size());
        assertEquals("ab", events.get(0).data());
        assertArrayEquals(bytes("id: 1\ndata: ab\n\n"), events.get(0).rawBytes());
        assertTrue(parser.hasPartialEvent());
    }

    @Test
    void joinsDataLinesAndPassesOtherLinesOn() {
        EventStreamParser parser = EventStreamParser.fromStart();

        List<StreamEvent> events =
                parser.parse(bytes("x-versions: 3\nid: 7\ndata: a\ndata: b\r\n\r\n"));

        assertEquals("a\nb", events.get(0).data());
        assertEquals(7, events.get(0).id());
        assertFalse(parser.hasPartialEvent());
    }

    @Test
    void aResumedStreamMustContinueAfterItsLastEvent() {
        EventStreamParser parser = EventStreamParser.resumingAfter(4);

        assertEquals(1, parser.parse(bytes("id: 5\ndata: a\n\n")).size());
        assertEquals(0, parser.parse(bytes("id: 7\ndata: a\n\n")).size());
        assertEquals("event 7 follows event 5", parser.fault().orElseThrow());
        assertEquals(5, parser.lastId().orElseThrow());
    }

    @Test
    void aRepeatedEventIsAFault() {
        EventStreamParser parser = EventStreamParser.resumingAfter(4);

        assertEquals(0, parser.parse(bytes("id: 4\ndata: a\n\n")).size());
        assertTrue(parser.fault().isPresent());
    }

    @Test
    void anEventWithoutANumberIsAFault() {
        EventStreamParser parser = EventStreamParser.fromStart();

        assertEquals(0, parser.parse(bytes("data: a\n\n")).size());
        assertEquals("an event has no number", parser.fault().orElseThrow());
    }

    @Test
    void bytesThatAreNotUtf8AreAFault() {
        EventStreamParser parser = EventStreamParser.fromStart();
        byte[] event = bytes("id: 1\ndata: abc\n\n");
        event[12] = (byte) 0xff;

        assertEquals(0, parser.parse(event).size());
        assertEquals("an event is not UTF-8", parser.fault().orElseThrow());
    }

    @Test
    void nothingIsParsedAfterAFault() {
        EventStreamParser parser = EventStreamParser.fromStart();

        assertEquals(0, parser.parse(bytes("data: a\n\nid: 1\ndata: b\n\n")).size());
        assertEquals(0, parser.parse(bytes("id: 2\ndata: b\n\n")).size());
    }

    @Property(tries = 200)
    void theEventsAreTheSameHoweverTheBytesAreSplit(@ForAll long seed) {
        Random random = new Random(seed);
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        int count = 1 + random.nextInt(20);
        for (int id = 1; id <= count; id++) {
            stream.writeBytes(bytes("id: " + id + "\ndata: ä" + "x".repeat(random.nextInt(30))));
            stream.writeBytes(bytes("\n\n"));
        }
        byte[] streamBytes = stream.toByteArray();
        EventStreamParser parser = EventStreamParser.fromStart();
        List<StreamEvent> events = new ArrayList<>();
        int from = 0;
        while (from < streamBytes.length) {
            int to = Math.min(streamBytes.length, from + 1 + random.nextInt(25));
            events.addAll(parser.parse(Arrays.copyOfRange(streamBytes, from, to)));
            from = to;
        }

        assertEquals(count, events.size());
        ByteArrayOutputStream parsedBytes = new ByteArrayOutputStream();
        events.forEach(event -> parsedBytes.writeBytes(event.rawBytes()));
        assertArrayEquals(streamBytes, parsedBytes.toByteArray());
    }
}
