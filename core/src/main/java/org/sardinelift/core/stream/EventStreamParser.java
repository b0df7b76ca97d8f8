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
 * Parses the bytes of a server-sent event stream into complete events and checks their order. The
 * bytes of an incomplete event are buffered. Not thread-safe.
 */
public final class EventStreamParser {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    /** A peer that never ends an event must not fill the memory. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Larger buffers are not kept for the next event. */
    private static final int MAX_KEPT_BYTES = 64 << 10;

    private byte[] buffer = new byte[0];
    private int length;
    private int lineStart;
    private int scanned;
    private OptionalLong lastId;
    private Optional<String> fault = Optional.empty();

    private EventStreamParser(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /**
     * Creates a parser of a stream whose first event may have any number.
     *
     * @return the parser
     */
    public static EventStreamParser fromStart() {
        return new EventStreamParser(OptionalLong.empty());
    }

    /**
     * Creates a parser of a stream that resumes after an event.
     *
     * @param lastId number of that event
     * @return the parser
     */
    public static EventStreamParser resumingAfter(long lastId) {
        return new EventStreamParser(OptionalLong.of(lastId));
    }

    /**
     * Parses the next bytes.
     *
     * @param bytes the bytes received
     * @return the events completed by them; none after a fault of the stream
     */
    public List<StreamEvent> parse(byte[] bytes) {
        append(bytes);
        List<StreamEvent> events = new ArrayList<>();
        int end = findEndOfEvent();
        while (end > 0 && fault.isEmpty()) {
            parseEvent(Arrays.copyOf(buffer, end)).ifPresent(events::add);
            remove(end);
            end = findEndOfEvent();
        }
        if (length > MAX_EVENT_BYTES) {
            fault = Optional.of("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /**
     * Returns the number of the last complete event.
     *
     * @return its number, or empty before the first
     */
    public OptionalLong lastId() {
        return lastId;
    }

    /**
     * Returns the fault of the stream.
     *
     * @return description of the fault, or empty if there is none
     */
    public Optional<String> fault() {
        return fault;
    }

    /**
     * Returns whether an event has been received in part.
     *
     * @return true if the end of an event is missing
     */
    public boolean hasPartialEvent() {
        return length > 0;
    }

    /**
     * Returns the memory that is held for events received in part.
     *
     * @return number of bytes
     */
    public int heldBytes() {
        return buffer.length;
    }

    private Optional<StreamEvent> parseEvent(byte[] raw) {
        Optional<String> text = decode(raw);
        if (text.isEmpty()) {
            fault = Optional.of("an event is not UTF-8");
            return Optional.empty();
        }
        List<String> lines = text.get().lines().toList();
        Optional<Long> id = parseId(lines);
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

    private static Optional<Long> parseId(List<String> lines) {
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

    private static Optional<String> decode(byte[] raw) {
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

    /**
     * Returns the index after the first empty line, 0 if there is none. Each byte is examined once,
     * however many parts an event arrives in.
     */
    private int findEndOfEvent() {
        while (scanned < length) {
            int index = scanned++;
            if (buffer[index] == '\n') {
                boolean isEmptyLine =
                        index == lineStart || index == lineStart + 1 && buffer[lineStart] == '\r';
                lineStart = index + 1;
                if (isEmptyLine) {
                    return lineStart;
                }
            }
        }
        return 0;
    }

    private void append(byte[] bytes) {
        int needed = length + bytes.length;
        if (needed > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * buffer.length));
        }
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length = needed;
    }

    /** Removes an event that ends where scanning has stopped. */
    private void remove(int end) {
        System.arraycopy(buffer, end, buffer, 0, length - end);
        length -= end;
        if (length == 0 && buffer.length > MAX_KEPT_BYTES) {
            buffer = new byte[0];
        }
        lineStart = 0;
        scanned = 0;
    }
}
