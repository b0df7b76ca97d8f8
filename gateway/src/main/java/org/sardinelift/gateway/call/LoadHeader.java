package org.sardinelift.gateway.call;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Load that a target states in a response: running calls, waiting calls, slots and, from some
 * targets, how long work takes now, in percent of the usual time. Further fields are ignored.
 *
 * @param calls sum of running and waiting calls, empty if the header is absent or unreadable
 * @param workTimePercent how long work takes, percent of the usual time; empty if not stated, or
 *     not within 10 to 1,000
 */
record LoadHeader(OptionalInt calls, OptionalInt workTimePercent) {
    /** Stands for an absent or unreadable header. */
    static final LoadHeader NONE = new LoadHeader(OptionalInt.empty(), OptionalInt.empty());

    private static final int MIN_FIELD_COUNT = 3;
    private static final int WORK_TIME_FIELD = 3;
    private static final int MAX_CALLS = 1_000_000;
    private static final int MIN_WORK_TIME_PERCENT = 10;
    private static final int MAX_WORK_TIME_PERCENT = 1_000;

    /**
     * Parses a load header.
     *
     * @param text value of the header, null if it is absent
     * @return what it states
     */
    static LoadHeader parse(@Nullable String text) {
        if (text == null) {
            return NONE;
        }
        List<String> fields = Arrays.stream(text.split(",")).map(String::trim).toList();
        List<OptionalInt> known =
                fields.stream()
                        .limit(MIN_FIELD_COUNT)
                        .map(field -> readNumber(field, 0, MAX_CALLS))
                        .toList();
        if (known.size() < MIN_FIELD_COUNT || known.stream().anyMatch(OptionalInt::isEmpty)) {
            Logger.debug(
                    "Ignoring load header '{}', expected integers: running, waiting, slots", text);
            return NONE;
        }
        OptionalInt workTime =
                fields.size() > WORK_TIME_FIELD
                        ? readNumber(
                                fields.get(WORK_TIME_FIELD),
                                MIN_WORK_TIME_PERCENT,
                                MAX_WORK_TIME_PERCENT)
                        : OptionalInt.empty();
        return new LoadHeader(
                OptionalInt.of(known.get(0).getAsInt() + known.get(1).getAsInt()), workTime);
    }

    private static OptionalInt readNumber(String text, int min, int max) {
        try {
            int value = Integer.parseInt(text);
            return value >= min && value <= max ? OptionalInt.of(value) : OptionalInt.empty();
        } catch (NumberFormatException e) {
            // Treated like a value out of range.
            return OptionalInt.empty();
        }
    }
}
