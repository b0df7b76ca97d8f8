package org.sardinelift.gateway.call;

import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Parses the header in which targets limit the rate of their requests: a decimal number. */
final class RateHeader {
    /** Enough for any rate; longer texts are not parsed. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private RateHeader() {}

    /**
     * Parses a rate header.
     *
     * @param text value of the header, null if it is absent
     * @return requests per second, or empty if the header is absent or unreadable
     */
    static OptionalDouble parse(@Nullable String text) {
        if (text == null) {
            return OptionalDouble.empty();
        }
        String trimmed = text.trim();
        if (!DECIMAL.matcher(trimmed).matches()) {
            Logger.debug("Ignoring rate header '{}', expected a decimal number", text);
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Double.parseDouble(trimmed));
    }
}
