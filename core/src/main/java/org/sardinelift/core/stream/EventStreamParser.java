package org.sardinelift.core.stream;

import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Cuts the bytes of a server-sent event stream into whole events and checks their order. An event
 * of which only a part has come is held back. Not safe for use by several threads at once.
 */
public final class EventStreamParser {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    /** Longest event, bytes: a peer that sends no end of an event must not fill the memory. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private byte[] pending = new byte[0];
    private OptionalLong lastId;
    private Optional<String> fault = Optional.empty();

    private EventStreamParser(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /**
     * Reads a stream whose first event may have any number.
     *
     * @return the reader
     */
    public static EventStreamParser fromStart() {
        return new EventStreamParser(OptionalLong.empty());
    }

    /**
     * Reads a stream that goes on after an event.
     *
     * @param lastId number of that event
     * @return the reader
     */
    public static EventStreamParser resumingAfter(long lastId) {
        return new EventStreamParser(OptionalLong.of(lastId));
    }

    /**
     * Takes the next bytes.
     *
     * @param bytes what was received
     * @return the events that are whole now; none once the stream is faulty
     */
    public List<StreamEvent> parse(byte[] bytes) {
        pending = joined(pending, bytes);
        List<StreamEvent> events = new ArrayList<>();
        int end = endOfEvent(pending);
        while (end > 0 && fault.isEmpty()) {
            take(slice(pending, 0, end)).ifPresent(events::add);
            pending = slice(pending, end, pending.length);
            end = endOfEvent(pending);
        }
        if (pending.length > MAX_EVENT_BYTES) {
            fault = Optional.of("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /**
     * Number of the last whole event.
     *
     * @return its number, or empty before the first
     */
    public OptionalLong lastId() {
        return lastId;
    }

    /**
     * What is wrong with the stream.
     *
     * @return the fault, or empty
     */
    public Optional<String> fault() {
        return fault;
    }

    /**
     * Whether bytes of an event have come whose end has not.
     *
     * @return true within an event
     */
    public boolean hasPartialEvent() {
        return pending.length > 0;
    }

    private Optional<StreamEvent> take(byte[] raw) {
        Optional<String> text = text(raw);
        if (text.isEmpty()) {
            fault = Optional.of("an event is not UTF-8");
            return Optional.empty();
        }
        List<String> lines = text.get().lines().toList();
        Optional<Long> id = number(lines);
        if (id.isEmpty()) {
            fault = Optional.of("an event has no number");
            return Optional.empty();
        }
        if (lastId.isPresent() && id.get() != lastId.getAsLong() + 1) {
            fault = Optional.of("event " + id.get() + " follows event " + lastId.getAsLong());
            return Optional.empty();
        }
        lastId = OptionalLong.of(id.get());
        String data =
                lines.stream()
                        .filter(line -> line.startsWith(DATA))
                        .map(line -> value(line, DATA))
                        .collect(Collectors.joining("\n"));
        return Optional.of(new StreamEvent(id.get(), data, raw));
    }

    private static Optional<Long> number(List<String> lines) {
        try {
            return lines.stream()
                    .filter(line -> line.startsWith(ID))
                    .findFirst()
                    .map(line -> Long.parseLong(value(line, ID)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String value(String line, String field) {
        String rest = line.substring(field.length());
        return rest.startsWith(" ") ? rest.substring(1) : rest;
    }

    private static Optional<String> text(byte[] raw) {
        try {
            return Optional.of(
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .onMalformedInput(CodingErrorAction.REPORT)
                            .onUnmappableCharacter(CodingErrorAction.REPORT)
                            .decode(java.nio.ByteBuffer.wrap(raw))
                            .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    /** Index after the first empty line, 0 where there is none. */
    private static int endOfEvent(byte[] bytes) {
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                boolean empty = i == lineStart || i == lineStart + 1 && bytes[lineStart] == '\r';
                if (empty) {
                    return i + 1;
                }
                lineStart = i + 1;
            }
        }
        return 0;
    }

    private static byte[] joined(byte[] first, byte[] second) {
        if (first.length == 0) {
            return second;
        }
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    private static byte[] slice(byte[] bytes, int from, int to) {
        return Arrays.copyOfRange(bytes, from, to);
    }
}
