package org.sardinelift.gateway.call;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.sardinelift.core.quota.StatedRate;
import org.tinylog.Logger;

/** Parses the header in which targets limit the rate of their requests: a decimal number. */
final class RateHeader {
    /** Nine digits are enough for any rate; longer texts are not parsed. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private RateHeader() {}

    /**
     * Parses a rate header.
     *
     * @param values values of the header, empty if it is absent
     * @return the lowest readable rate
     */
    static StatedRate parse(List<String> values) {
        if (values.isEmpty()) {
            return new StatedRate.Unlimited();
        }
        OptionalDouble lowest =
                values.stream()
                        .map(String::trim)
                        .filter(text -> DECIMAL.matcher(text).matches())
                        .mapToDouble(Double::parseDouble)
                        .min();
        if (lowest.isEmpty()) {
            Logger.debug("Ignoring rate header '{}', expected a decimal number", values);
            return new StatedRate.Unreadable();
        }
        return new StatedRate.Limited(lowest.getAsDouble());
    }
}
