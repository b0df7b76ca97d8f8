package org.sardinelift.gateway.call;

import java.util.Arrays;
import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Parses the load header of target responses: running calls, waiting calls, slots. */
final class LoadHeader {
    private static final int FIELD_COUNT = 3;

    private LoadHeader() {}

    /**
     * Parses a load header.
     *
     * @param text value of the header, null if it is absent
     * @return sum of running and waiting calls, or empty if the header is absent or unreadable
     */
    static OptionalInt parse(@Nullable String text) {
        if (text == null) {
            return OptionalInt.empty();
        }
        try {
            int[] fields =
                    Arrays.stream(text.split(","))
                            .mapToInt(field -> Integer.parseInt(field.trim()))
                            .toArray();
            return fields.length == FIELD_COUNT
                    ? OptionalInt.of(fields[0] + fields[1])
                    : OptionalInt.empty();
        } catch (NumberFormatException e) {
            Logger.debug(
                    "Ignoring load header '{}', expected integers: running, waiting, slots", text);
            return OptionalInt.empty();
        }
    }
}
