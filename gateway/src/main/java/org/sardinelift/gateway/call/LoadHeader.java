package org.sardinelift.gateway.call;

import java.util.Arrays;
import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** The load that targets state with their answers: running calls, waiting calls, slots. */
public final class LoadHeader {
    private static final int FIELDS = 3;

    private LoadHeader() {}

    /**
     * Reads a stated load.
     *
     * @param text value of the header, null where it is absent
     * @return running and waiting calls, or empty where none are stated
     */
    public static OptionalInt parse(@Nullable String text) {
        if (text == null) {
            return OptionalInt.empty();
        }
        try {
            int[] fields =
                    Arrays.stream(text.split(","))
                            .mapToInt(field -> Integer.parseInt(field.trim()))
                            .toArray();
            return fields.length == FIELDS
                    ? OptionalInt.of(fields[0] + fields[1])
                    : OptionalInt.empty();
        } catch (NumberFormatException e) {
            Logger.debug("A stated load can't be read: {}", text);
            return OptionalInt.empty();
        }
    }
}
